#include <laburnumroute/membership.h>

#include <algorithm>

#include <laburnumroute/json.h>

namespace laburnum {

Membership::Membership(std::vector<Member> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(),
        [](const Member& a, const Member& b) { return a.id < b.id; });
}

const Member* Membership::find(const MemberId& id) const
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [&](const Member& member) { return member.id == id; });
    return found == m_members.end() ? nullptr : &*found;
}

bool Membership::isVoter(const MemberId& id) const
{
    const Member* member = find(id);
    return member != nullptr && member->voter;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [](const Member& member) { return member.voter; }));
}

std::size_t Membership::quorum() const { return voterCount() / 2 + 1; }

Membership Membership::with(const Member& member) const
{
    std::vector<Member> members = without(member.id).m_members;
    members.push_back(member);
    return Membership(std::move(members));
}

Membership Membership::without(const MemberId& id) const
{
    std::vector<Member> members = m_members;
    std::erase_if(members, [&](const Member& member) { return member.id == id; });
    return Membership(std::move(members));
}

std::string encodeMembership(const Membership& membership)
{
    Json::Value list(Json::arrayValue);
    for (const Member& member : membership.members()) {
        Json::Value item(Json::objectValue);
        item["host"] = member.host.value();
        item["id"] = member.id.value();
        item["voter"] = member.voter;
        list.append(item);
    }
    return toJsonText(list);
}

Expected<Membership> decodeMembership(std::string_view text)
{
    const auto list = parseJson(text);
    if (!list || !list->isArray())
        return fail(ErrorCode::InvalidArgument, "malformed membership");
    std::vector<Member> members;
    for (const auto& item : *list) {
        const auto host = stringMember(item, "host");
        const auto id = stringMember(item, "id");
        if (!host || !id || !item["voter"].isBool())
            return fail(ErrorCode::InvalidArgument, "malformed member of a membership");
        members.push_back({ HostId(*host), MemberId(*id), item["voter"].asBool() });
    }
    return Membership(std::move(members));
}

} // namespace laburnum
