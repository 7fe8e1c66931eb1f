#include "membership_messages_pvt.h"

#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    /// Values per update: host, state, incarnation.
    constexpr Json::ArrayIndex valuesPerItem = 3;
    constexpr Json::ArrayIndex maxUpdates = 64;

} // namespace

Json::Value encodeMemberPing(const MemberPing& ping)
{
    Json::Value value(Json::objectValue);
    value["n"] = Json::UInt64(ping.sequence);
    if (ping.target)
        value["target"] = ping.target->value();
    for (const auto& item : ping.updates) {
        value["news"].append(item.host.value());
        value["news"].append(static_cast<unsigned>(item.state));
        value["news"].append(Json::UInt64(item.incarnation));
    }
    return value;
}

Expected<MemberPing> decodeMemberPing(const Json::Value& value)
{
    const auto sequence = unsignedMember(value, "n");
    if (!sequence)
        return tl::unexpected<Error>(sequence.error());
    MemberPing ping { *sequence, std::nullopt, {} };
    if (value["target"].isString())
        ping.target = HostId(value["target"].asString());
    const Json::Value& updates = value["news"];
    if (updates.isNull())
        return ping;
    if (!updates.isArray() || updates.size() % valuesPerItem != 0
        || updates.size() > maxUpdates * valuesPerItem)
        return fail(ErrorCode::InvalidArgument, "malformed list of membership updates");
    for (Json::ArrayIndex i = 0; i < updates.size(); i += valuesPerItem) {
        const Json::Value& state = updates[i + 1];
        if (!updates[i].isString() || !state.isUInt() || !updates[i + 2].isUInt64()
            || state.asUInt() > static_cast<unsigned>(MemberState::Dead))
            return fail(ErrorCode::InvalidArgument, "malformed membership update");
        ping.updates.push_back({ HostId(updates[i].asString()),
            static_cast<MemberState>(state.asUInt()), updates[i + 2].asUInt64() });
    }
    return ping;
}

} // namespace laburnum::pvt
