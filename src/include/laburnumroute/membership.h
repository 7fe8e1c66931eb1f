/// Membership of the replicated log: the hosts with a copy of the log, and which of them vote.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Identifies a data folder; drawn at random when the folder is created. A host whose disk was
/// emptied or replaced gets a new id.
using MemberId = StrongId<struct MemberTag, std::string>;

/// A member holds one copy of the log.
struct Member {
    HostId host;
    MemberId id;
    /// False for learners, which receive the log but count in no quorum.
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
    /// Number of voters needed for a majority; at least 1.
    std::size_t quorum() const;
    std::size_t voterCount() const;

    /// A copy with `member` added or replaced, or with `id` removed.
    Membership with(const Member& member) const;
    Membership without(const MemberId& id) const;

    friend bool operator==(const Membership&, const Membership&) = default;

private:
    std::vector<Member> m_members;
};

/// JSON text of `membership`, used as the command in the log.
std::string encodeMembership(const Membership& membership);
/// Decodes the output of encodeMembership(); InvalidArgument on anything else.
Expected<Membership> decodeMembership(std::string_view text);

} // namespace laburnum
