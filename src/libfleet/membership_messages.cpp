#include "membership_messages_pvt.h"

#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    /// Values per item of news: host, state, incarnation.
    constexpr Json::ArrayIndex valuesPerItem = 3;
    constexpr Json::ArrayIndex maxNews = 64;

} // namespace

Json::Value encodeMemberPing(const MemberPing& ping)
{
    Json::Value value(Json::objectValue);
    value["n"] = Json::UInt64(ping.number);
    if (ping.target)
        value["target"] = ping.target->value();
    for (const auto& item : ping.news) {
        value["news"].append(item.host.value());
        value["news"].append(static_cast<unsigned>(item.state));
        value["news"].append(Json::UInt64(item.incarnation));
    }
    return value;
}

Expected<MemberPing> decodeMemberPing(const Json::Value& value)
{
    const auto number = unsignedMember(value, "n");
    if (!number)
        return tl::unexpected<Error>(number.error());
    MemberPing ping { *number, std::nullopt, {} };
    if (value["target"].isString())
        ping.target = HostId(value["target"].asString());
    const Json::Value& news = value["news"];
    if (news.isNull())
        return ping;
    if (!news.isArray() || news.size() % valuesPerItem != 0
        || news.size() > maxNews * valuesPerItem)
        return fail(ErrorCode::InvalidArgument, "malformed news of members");
    for (Json::ArrayIndex i = 0; i < news.size(); i += valuesPerItem) {
        const Json::Value& state = news[i + 1];
        if (!news[i].isString() || !state.isUInt() || !news[i + 2].isUInt64()
            || state.asUInt() > static_cast<unsigned>(MemberState::Dead))
            return fail(ErrorCode::InvalidArgument, "malformed news of a member");
        ping.news.push_back({ HostId(news[i].asString()), static_cast<MemberState>(state.asUInt()),
            news[i + 2].asUInt64() });
    }
    return ping;
}

} // namespace laburnum::pvt
