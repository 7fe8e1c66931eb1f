// Reads one [[route]] table; see config_reader_pvt.h.

#include "config_reader_pvt.h"

#include <algorithm>
#include <array>
#include <set>

namespace laburnum::pvt {

namespace {

    constexpr std::array<std::string_view, 9> standardMethods { "GET", "HEAD", "POST", "PUT",
        "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH" };

    bool isStandardMethod(std::string_view method)
    {
        return std::find(standardMethods.begin(), standardMethods.end(), method)
            != standardMethods.end();
    }

    std::string readHost(TableReader& reader)
    {
        std::string host = reader.text("host", "", false);
        if (!host.empty() && !isHostName(host))
            reader.errorAt("host", "'" + host + "' is not a host name without port");
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

    void checkMethod(const std::string& method, const SourcePlace& place, Findings& findings)
    {
        const std::string upper = upperCase(method);
        if (!isToken(method))
            findings.error(place, "'" + method + "' is not a method name");
        else if (!isStandardMethod(method) && isStandardMethod(upper))
            findings.warning(place,
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
            checkMethod(method, reader.placeOf(item), reader.findings());
            if (!seen.insert(method).second)
                reader.findings().warning(
                    reader.placeOf(item), "method '" + method + "' is listed twice");
        }
        return methods;
    }

} // namespace

PlacedRoute readRoute(const toml::value& table, const std::string& file, Findings& findings)
{
    TableReader reader(table, file, findings);
    RouteSpec spec;
    spec.host = readHost(reader);
    spec.prefix = readPrefix(reader);
    spec.methods = readMethods(reader);
    spec.service = ServiceId(reader.text("service", "", true));
    reader.refuseUnknownKeys();
    return { std::move(spec), reader.placeOf(table), reader.placeOfValue("service") };
}

} // namespace laburnum::pvt
