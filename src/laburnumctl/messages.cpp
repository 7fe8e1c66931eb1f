#include "messages.h"

#include <laburnumroute/json.h>

namespace laburnum::ctl {

namespace {

    tl::unexpected<Error> wrong(const char* member, const char* type)
    {
        return fail(ErrorCode::InvalidArgument,
            std::string("the response's member '") + member + "' must be " + type);
    }

    /// A string member; empty when it is missing or has another type.
    std::string optionalText(const Json::Value& value, const char* name)
    {
        return value.isObject() && value[name].isString() ? value[name].asString() : std::string();
    }

    Expected<HistoryEntry> decodeEntry(const Json::Value& value)
    {
        const auto revision = unsignedMember(value, "revision");
        if (!revision)
            return tl::unexpected<Error>(revision.error());
        const auto change = stringMember(value, "change");
        if (!change)
            return tl::unexpected<Error>(change.error());
        return HistoryEntry { Revision(*revision), ChangeId(*change) };
    }

    Expected<HostStatus> decodeHost(const Json::Value& value)
    {
        const auto host = stringMember(value, "host");
        if (!host)
            return tl::unexpected<Error>(host.error());
        const auto revision = unsignedMember(value, "revision");
        if (!revision)
            return tl::unexpected<Error>(revision.error());
        if (!value["alive"].isBool())
            return wrong("alive", "a boolean");
        HostStatus status { HostId(*host), Revision(*revision), std::nullopt,
            value["alive"].asBool() };
        if (value["lag_ms"].isUInt64())
            status.lagMs = value["lag_ms"].asUInt64();
        return status;
    }

    Expected<ExplainedCandidate> decodeCandidate(const Json::Value& value)
    {
        const auto instance = stringMember(value, "instance");
        if (!instance)
            return tl::unexpected<Error>(instance.error());
        return ExplainedCandidate { InstanceId(*instance),
            DataCentreId(optionalText(value, "data_centre")), optionalText(value, "state"),
            optionalText(value, "reason") };
    }

    template <class T>
    Expected<std::vector<T>> decodeArray(
        const Json::Value& array, const char* name, Expected<T> (*decodeOne)(const Json::Value&))
    {
        if (!array.isArray())
            return wrong(name, "an array");
        std::vector<T> items;
        for (const auto& value : array) {
            auto item = decodeOne(value);
            if (!item)
                return tl::unexpected<Error>(item.error());
            items.push_back(std::move(*item));
        }
        return items;
    }

} // namespace

Expected<ConfigVersion> decodeVersion(const Json::Value& value)
{
    const auto entry = decodeEntry(value);
    if (!entry)
        return tl::unexpected<Error>(entry.error());
    const auto content = stringMember(value, "content");
    if (!content)
        return tl::unexpected<Error>(content.error());
    return ConfigVersion { entry->revision, entry->change, *content };
}

Expected<std::vector<HistoryEntry>> decodeHistory(const Json::Value& value)
{
    return decodeArray(value, "history", decodeEntry);
}

Expected<FleetStatus> decodeStatus(const Json::Value& value)
{
    const auto revision = unsignedMember(value, "revision");
    if (!revision)
        return tl::unexpected<Error>(revision.error());
    auto hosts = decodeArray(value["hosts"], "hosts", decodeHost);
    if (!hosts)
        return tl::unexpected<Error>(hosts.error());
    return FleetStatus { Revision(*revision), HostId(optionalText(value, "leader")),
        std::move(*hosts) };
}

Expected<Explanation> decodeExplanation(const Json::Value& value)
{
    if (!value.isObject())
        return fail(ErrorCode::InvalidArgument, "the response must be an object");
    auto candidates = decodeArray(value["candidates"], "candidates", decodeCandidate);
    if (!candidates)
        return tl::unexpected<Error>(candidates.error());
    return Explanation { ServiceId(optionalText(value, "service")), std::move(*candidates),
        optionalText(value, "reason") };
}

} // namespace laburnum::ctl
