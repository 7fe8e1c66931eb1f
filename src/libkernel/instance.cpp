#include <laburnumroute/instance.h>

#include <tuple>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    constexpr std::uint64_t maxSlots = 100'000;
    constexpr std::uint64_t maxConnections = 1'000'000;
    constexpr std::uint64_t maxLeaseMs = 600'000;

    /// Reads the members of an announcement and keeps the first error.
    class MemberReader {
    public:
        explicit MemberReader(const Json::Value& value)
            : m_value(value)
        {
        }

        std::string text(const char* name)
        {
            auto member = stringMember(m_value, name);
            if (member && member->empty())
                member = fail(
                    ErrorCode::InvalidArgument, std::string("member '") + name + "' is empty");
            return valueOrDefault(std::move(member));
        }

        std::uint64_t number(const char* name, std::uint64_t low, std::uint64_t high)
        {
            auto member = unsignedMember(m_value, name);
            if (member && (*member < low || *member > high))
                member = fail(ErrorCode::InvalidArgument,
                    std::string("member '") + name + "' must lie between " + std::to_string(low)
                        + " and " + std::to_string(high));
            return valueOrDefault(std::move(member));
        }

        const tl::expected<void, Error>& status() const { return m_status; }
        void setError(Error error)
        {
            if (m_status)
                m_status = tl::unexpected<Error>(std::move(error));
        }

    private:
        template <class T> T valueOrDefault(Expected<T> member)
        {
            if (member)
                return std::move(*member);
            setError(std::move(member.error()));
            return T {};
        }

        const Json::Value& m_value;
        tl::expected<void, Error> m_status;
    };

    Endpoint readEndpoint(MemberReader& reader)
    {
        const std::string text = reader.text("endpoint");
        auto endpoint = parseEndpoint(text);
        if (endpoint)
            return *endpoint;
        reader.setError(endpoint.error());
        return {};
    }

    InstancePhase readPhase(MemberReader& reader)
    {
        const std::string phase = reader.text("phase");
        if (phase == "draining")
            return InstancePhase::Draining;
        if (phase != "serving")
            reader.setError(
                { ErrorCode::InvalidArgument, "member 'phase' must be serving or draining" });
        return InstancePhase::Serving;
    }

    double readLoad(const Json::Value& value, MemberReader& reader)
    {
        const Json::Value& load = value["load"];
        if (load.isNumeric() && load.asDouble() >= 0.0)
            return load.asDouble();
        reader.setError(
            { ErrorCode::InvalidArgument, "member 'load' must be a number of at least 0" });
        return 0.0;
    }

} // namespace

bool supersedes(const InstanceRecord& record, const InstanceRecord& other) noexcept
{
    const auto orderKey = [](const InstanceRecord& r) {
        return std::tuple(r.incarnation, r.phase == InstancePhase::Draining, r.version);
    };
    return orderKey(record) > orderKey(other);
}

Json::Value encodeInstance(const InstanceRecord& record)
{
    Json::Value value(Json::objectValue);
    value["id"] = record.id.value();
    value["service"] = record.service.value();
    value["endpoint"] = formatEndpoint(record.endpoint);
    value["data_centre"] = record.dataCentre.value();
    value["region"] = record.region.value();
    value["incarnation"] = Json::UInt64(record.incarnation);
    value["version"] = Json::UInt64(record.version);
    value["phase"] = record.phase == InstancePhase::Draining ? "draining" : "serving";
    value["slots"] = record.slots;
    value["connections"] = record.connections;
    value["load"] = record.load;
    value["lease_ms"] = Json::Int64(toMillis(record.lease));
    return value;
}

Expected<InstanceRecord> decodeInstance(const Json::Value& value)
{
    if (!value.isObject())
        return fail(ErrorCode::InvalidArgument, "an announcement must be a JSON object");
    MemberReader reader(value);
    InstanceRecord record;
    record.id = InstanceId(reader.text("id"));
    record.service = ServiceId(reader.text("service"));
    record.endpoint = readEndpoint(reader);
    record.dataCentre = DataCentreId(reader.text("data_centre"));
    record.region = RegionId(reader.text("region"));
    if (value.isMember("incarnation"))
        record.incarnation = reader.number("incarnation", 0, UINT64_MAX);
    record.version = reader.number("version", 0, UINT64_MAX);
    record.phase = readPhase(reader);
    record.slots = static_cast<std::uint32_t>(reader.number("slots", 1, maxSlots));
    record.connections
        = static_cast<std::uint32_t>(reader.number("connections", 1, maxConnections));
    record.load = readLoad(value, reader);
    record.lease = std::chrono::milliseconds(reader.number("lease_ms", 1, maxLeaseMs));
    if (!reader.status())
        return tl::unexpected<Error>(reader.status().error());
    return record;
}

} // namespace laburnum
