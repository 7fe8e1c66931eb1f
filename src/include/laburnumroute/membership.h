/// Membership of the replicated log: which hosts hold a copy and which of them vote.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// The identity of one data folder, drawn at random when the folder is created. A host whose disk
/// was emptied or replaced comes back with another id.
using MemberId = StrongId<struct MemberTag, std::string>;

/// One copy of the log.
struct Member {
    HostId host;
    MemberId id;
    /// Learners receive the log but count in no quorum.
    bool voter = false;

    friend bool operator==(const Member&, const Member&) = default;
};

/// A set of members, sorted by member id.
class Membership {
public:
    Membership() = default;
    explicit Membership(std::vector<Member> members);

    const std::vector<Member>& members() const noexcept { return m_members; }
    bool empty() const noexcept { return m_members.empty(); }
    const Member* find(const MemberId& id) const;
    bool isVoter(const MemberId& id) const;
    /// Number of voters that make a majority; at least 1.
    std::size_t quorum() const;
    std::size_t voterCount() const;

    /// This membership with `member` added or replaced, or with `id` removed.
    Membership with(const Member& member) const;
    Membership without(const MemberId& id) const;

    friend bool operator==(const Membership&, const Membership&) = default;

private:
    std::vector<Member> m_members;
};

/// JSON text of `membership`, as it stands in the log.
std::string encodeMembership(const Membership& membership);
/// Reads what encodeMembership() wrote; InvalidArgument on anything else.
Expected<Membership> decodeMembership(std::string_view text);

} // namespace laburnum
