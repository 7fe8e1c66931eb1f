#include <laburnumroute/permit_message.h>

#include <algorithm>
#include <array>
#include <string_view>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    /// Names by PermitState.
    constexpr std::array<std::string_view, 3> stateNames { "ejected", "on-trial", "withdrawn" };

    Expected<Permit> decodePermit(const Json::Value& value)
    {
        const auto sequence = unsignedMember(value, "sequence");
        const auto instance = stringMember(value, "instance");
        const auto scope = stringMember(value, "scope");
        const auto state = stringMember(value, "state");
        if (!sequence || !instance || !scope || !state)
            return fail(ErrorCode::InvalidArgument, "malformed permit");
        const auto found = std::find(stateNames.begin(), stateNames.end(), *state);
        if (found == stateNames.end())
            return fail(ErrorCode::InvalidArgument, "unknown permit state '" + *state + "'");
        return Permit { *sequence, InstanceId(*instance), DataCentreId(*scope),
            static_cast<PermitState>(found - stateNames.begin()) };
    }

} // namespace

Json::Value encodePermitGrant(const PermitGrant& grant)
{
    Json::Value value(Json::objectValue);
    value["service"] = grant.service.value();
    value["incarnation"] = Json::UInt64(grant.incarnation);
    value["sent_at"] = Json::UInt64(grant.sentAt);
    value["version"] = Json::UInt64(grant.version);
    Json::Value& permits = value["permits"] = Json::Value(Json::arrayValue);
    for (const Permit& permit : grant.permits) {
        Json::Value item(Json::objectValue);
        item["sequence"] = Json::UInt64(permit.sequence);
        item["instance"] = permit.instance.value();
        item["scope"] = permit.scope.value();
        item["state"] = std::string(stateNames.at(static_cast<std::size_t>(permit.state)));
        permits.append(std::move(item));
    }
    return value;
}

Expected<PermitGrant> decodePermitGrant(const Json::Value& value)
{
    const auto service = stringMember(value, "service");
    const auto incarnation = unsignedMember(value, "incarnation");
    const auto sentAt = unsignedMember(value, "sent_at");
    const auto version = unsignedMember(value, "version");
    if (!service || !incarnation || !sentAt || *sentAt > INT64_MAX || !version
        || !value["permits"].isArray())
        return fail(ErrorCode::InvalidArgument, "malformed permit grant");
    PermitGrant grant { ServiceId(*service), *incarnation, static_cast<std::int64_t>(*sentAt),
        *version, {} };
    for (const auto& item : value["permits"]) {
        auto permit = decodePermit(item);
        if (!permit)
            return tl::unexpected<Error>(permit.error());
        grant.permits.push_back(*permit);
    }
    std::sort(grant.permits.begin(), grant.permits.end(),
        [](const Permit& a, const Permit& b) { return a.sequence < b.sequence; });
    return grant;
}

} // namespace laburnum
