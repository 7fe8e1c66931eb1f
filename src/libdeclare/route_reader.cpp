// Reads one [[route]] table; see config_reader_pvt.h.

#include "config_reader_pvt.h"

#include <algorithm>
#include <array>
#include <set>

namespace laburnum::pvt {

namespace {

    constexpr std::array<std::string_view, 9> standardMethods { "GET", "HEAD", "POST", "PUT",
        "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH" };

    constexpr std::int64_t maxWeight = 1'000'000;
    constexpr std::int64_t maxTimeoutMs = 3'600'000;
    constexpr std::int64_t maxPriority = 1000;
    constexpr std::int64_t maxAttempts = 100;

    RequestKind readKind(TableReader& reader)
    {
        const std::string name = reader.text("kind", requestKindName(RequestKind::ByMethod), false);
        for (const RequestKind kind : { RequestKind::ByMethod, RequestKind::Safe,
                 RequestKind::Unsafe, RequestKind::Upload }) {
            if (name == requestKindName(kind))
                return kind;
        }
        reader.errorAt(
            "kind", "unknown kind '" + name + "'; known: by-method, safe, unsafe, upload");
        return RequestKind::ByMethod;
    }

    WeightedService readShare(const toml::value& table, const std::string& file, Findings& findings)
    {
        TableReader reader(table, file, findings);
        WeightedService share;
        share.service = ServiceId(reader.text("service", "", true));
        share.weight = static_cast<std::uint32_t>(reader.integer("weight", 1, 0, maxWeight));
        reader.reportUnknownKeys();
        return share;
    }

    std::vector<WeightedService> readSplit(TableReader& reader)
    {
        auto shares = readTables<WeightedService>(reader, "split", readShare);
        std::uint64_t sum = 0;
        for (const auto& share : shares)
            sum += share.weight;
        if (!shares.empty() && sum == 0)
            reader.errorAt("split", "the weights of a split must not all be 0");
        return shares;
    }

    /// Reads the keys that have defaults: name, kind, deadlines, priority,
    /// attempts and whether it is anonymous.
    void readOptionalKeys(TableReader& reader, RouteSpec& spec)
    {
        spec.name = reader.text("name", "", false);
        spec.kind = readKind(reader);
        spec.timeout = std::chrono::milliseconds(reader.integer("timeout_ms", 0, 0, maxTimeoutMs));
        spec.objective
            = std::chrono::milliseconds(reader.integer("objective_ms", 0, 0, maxTimeoutMs));
        if (spec.timeout > Duration::zero() && spec.objective > spec.timeout)
            reader.errorAt("objective_ms", "'objective_ms' must not be greater than 'timeout_ms'");
        spec.priority
            = static_cast<std::uint32_t>(reader.integer("priority", spec.priority, 0, maxPriority));
        spec.attempts
            = static_cast<std::uint32_t>(reader.integer("attempts", spec.attempts, 1, maxAttempts));
        spec.anonymous = reader.flag("anonymous", spec.anonymous);
    }

    bool isStandardMethod(std::string_view method)
    {
        return std::find(standardMethods.begin(), standardMethods.end(), method)
            != standardMethods.end();
    }

    std::string readHost(TableReader& reader)
    {
        std::string host = reader.text("host", "", false);
        if (!host.empty() && !isHostName(host))
            reader.errorAt("host", "'" + host + "' is not a host name, with or without a port");
        return host;
    }

    std::string readPrefix(TableReader& reader)
    {
        std::string prefix = reader.text("prefix", "/", false);
        if (!prefix.starts_with('/'))
            reader.errorAt("prefix", "prefix '" + prefix + "' must start with '/'");
        else if (!isPathPrefix(prefix))
            reader.errorAt("prefix",
                "prefix '" + prefix + "' must be a path of visible ASCII without '?' and '#'");
        return prefix;
    }

    void checkMethod(const std::string& method, const SourceLocation& location, Findings& findings)
    {
        const std::string upper = upperCase(method);
        if (!isToken(method))
            findings.error(location, "'" + method + "' is not a method name");
        else if (!isStandardMethod(method) && isStandardMethod(upper))
            findings.warning(location,
                "method '" + method + "' never matches '" + upper
                    + "': methods are case-sensitive");
    }

    std::vector<std::string> readMethods(TableReader& reader)
    {
        std::vector<std::string> methods = reader.texts("methods");
        const toml::value* value = reader.find("methods");
        if (!value || !value->is_array())
            return methods;
        std::set<std::string> seen;
        for (const auto& item : value->as_array()) {
            if (!item.is_string())
                continue;
            const std::string& method = item.as_string().str;
            checkMethod(method, reader.locationOf(item), reader.findings());
            if (!seen.insert(method).second)
                reader.findings().warning(
                    reader.locationOf(item), "method '" + method + "' is listed twice");
        }
        return methods;
    }

} // namespace

LocatedRoute readRoute(const toml::value& table, const std::string& file, Findings& findings)
{
    TableReader reader(table, file, findings);
    RouteSpec spec;
    spec.host = readHost(reader);
    spec.prefix = readPrefix(reader);
    spec.methods = readMethods(reader);
    spec.split = readSplit(reader);
    if (!spec.split.empty() && reader.has("service"))
        reader.errorAt("service", "a route has either a service or a split");
    spec.service = ServiceId(reader.text("service", "", spec.split.empty()));
    readOptionalKeys(reader, spec);
    reader.reportUnknownKeys();
    return { std::move(spec), reader.locationOf(table), reader.locationOfValue("service") };
}

} // namespace laburnum::pvt
