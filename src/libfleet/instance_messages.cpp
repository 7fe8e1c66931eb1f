#include "instance_messages_pvt.h"

#include <algorithm>
#include <cmath>

#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    /// Values per row: key, version, age, load.
    constexpr Json::ArrayIndex valuesPerRow = 4;
    constexpr auto ageUnit = std::chrono::milliseconds(100);
    constexpr double loadStepsPerUnit = 20.0;
    constexpr double maxLoad = 10.0;

    Json::Value encodeRows(const std::vector<InstanceRow>& rows)
    {
        Json::Value value(Json::arrayValue);
        for (const auto& row : rows) {
            value.append(Json::UInt64(row.key));
            value.append(Json::UInt64(row.version));
            value.append(Json::UInt64(row.age / ageUnit));
            value.append(
                static_cast<unsigned>(std::lround(std::min(row.load, maxLoad) * loadStepsPerUnit)));
        }
        return value;
    }

    Expected<std::vector<InstanceRow>> decodeRows(const Json::Value& value)
    {
        std::vector<InstanceRow> rows;
        if (!value.isArray() || value.size() > maxListItems * valuesPerRow
            || value.size() % valuesPerRow != 0)
            return fail(ErrorCode::InvalidArgument, "malformed list of instance rows");
        for (Json::ArrayIndex i = 0; i < value.size(); i += valuesPerRow) {
            const Json::Value& age = value[i + 2];
            const Json::Value& load = value[i + 3];
            if (!value[i].isUInt64() || !value[i + 1].isUInt64() || !age.isUInt() || !load.isUInt())
                return fail(ErrorCode::InvalidArgument, "malformed instance row");
            rows.push_back({ value[i].asUInt64(), value[i + 1].asUInt64(), age.asUInt() * ageUnit,
                load.asUInt() / loadStepsPerUnit });
        }
        return rows;
    }

    Expected<std::vector<AgedRecord>> decodeRecords(const Json::Value& value)
    {
        std::vector<AgedRecord> records;
        if (!value.isArray() || value.size() > maxListItems)
            return fail(ErrorCode::InvalidArgument, "malformed list of instance records");
        for (const auto& item : value) {
            auto record = decodeInstance(item);
            if (!record)
                return tl::unexpected<Error>(record.error());
            if (!item["age_ms"].isUInt())
                return fail(ErrorCode::InvalidArgument, "instance record has no valid 'age_ms'");
            records.push_back(
                { std::move(*record), std::chrono::milliseconds(item["age_ms"].asUInt()) });
        }
        return records;
    }

    Expected<std::vector<std::uint64_t>> decodeKeys(const Json::Value& value)
    {
        std::vector<std::uint64_t> keys;
        if (!value.isArray() || value.size() > maxListItems)
            return fail(ErrorCode::InvalidArgument, "malformed list of instance keys");
        for (const auto& key : value) {
            if (!key.isUInt64())
                return fail(ErrorCode::InvalidArgument, "malformed instance key");
            keys.push_back(key.asUInt64());
        }
        return keys;
    }

    Expected<std::set<ServiceId>> decodeServices(const Json::Value& value)
    {
        std::set<ServiceId> services;
        if (!value.isArray() || value.size() > maxListItems)
            return fail(ErrorCode::InvalidArgument, "malformed list of services");
        for (const auto& name : value) {
            if (!name.isString())
                return fail(ErrorCode::InvalidArgument, "malformed service name");
            services.insert(ServiceId(name.asString()));
        }
        return services;
    }

    /// The list member `name`, or an empty list when it is missing.
    Json::Value listMember(const Json::Value& value, const char* name)
    {
        return value.isMember(name) ? value[name] : Json::Value(Json::arrayValue);
    }

} // namespace

Json::Value encodeInstanceDigest(const InstanceDigest& digest)
{
    Json::Value value(Json::objectValue);
    value["first"] = Json::UInt64(digest.first);
    value["last"] = Json::UInt64(digest.last);
    value["rows"] = encodeRows(digest.rows);
    if (digest.services) {
        Json::Value& services = value["services"] = Json::Value(Json::arrayValue);
        for (const auto& service : *digest.services)
            services.append(service.value());
    }
    return value;
}

Expected<InstanceDigest> decodeInstanceDigest(const Json::Value& value)
{
    const auto first = unsignedMember(value, "first");
    const auto last = unsignedMember(value, "last");
    if (!first || !last)
        return fail(ErrorCode::InvalidArgument, "instance digest has no key range");
    auto rows = decodeRows(value["rows"]);
    if (!rows)
        return tl::unexpected<Error>(rows.error());
    InstanceDigest digest { *first, *last, std::move(*rows), std::nullopt };
    if (value.isMember("services")) {
        auto services = decodeServices(value["services"]);
        if (!services)
            return tl::unexpected<Error>(services.error());
        digest.services = std::move(*services);
    }
    return digest;
}

Json::Value encodeInstanceDelta(const InstanceDelta& delta)
{
    Json::Value value(Json::objectValue);
    if (!delta.rows.empty())
        value["rows"] = encodeRows(delta.rows);
    for (const auto& item : delta.records) {
        Json::Value record = encodeInstance(item.record);
        record["age_ms"] = Json::UInt64(toMillis(item.age));
        value["records"].append(record);
    }
    for (const std::uint64_t key : delta.wanted)
        value["want"].append(Json::UInt64(key));
    return value;
}

Expected<InstanceDelta> decodeInstanceDelta(const Json::Value& value)
{
    if (!value.isObject())
        return fail(ErrorCode::InvalidArgument, "instance delta must be a JSON object");
    auto rows = decodeRows(listMember(value, "rows"));
    auto records = decodeRecords(listMember(value, "records"));
    auto wanted = decodeKeys(listMember(value, "want"));
    if (!rows || !records || !wanted)
        return fail(ErrorCode::InvalidArgument, "malformed instance delta");
    return InstanceDelta { std::move(*rows), std::move(*records), std::move(*wanted) };
}

} // namespace laburnum::pvt
