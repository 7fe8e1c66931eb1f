#include <laburnumroute/toml_table.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>

namespace laburnum {

namespace {

    std::optional<double> parseNumber(std::string_view text)
    {
        double number = 0.0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc() || end != text.data() + text.size() || std::isnan(number))
            return std::nullopt;
        return number;
    }

    std::optional<double> numberOf(const toml::value& value)
    {
        if (value.is_integer())
            return static_cast<double>(value.as_integer());
        if (value.is_floating() && !std::isnan(value.as_floating()))
            return value.as_floating();
        return value.is_string() ? parseNumber(value.as_string().str) : std::nullopt;
    }

    std::string numberText(double number)
    {
        std::ostringstream text;
        text.precision(std::numeric_limits<double>::max_digits10 - 2);
        text << number;
        return text.str();
    }

} // namespace

TableReader::TableReader(const toml::value& table, std::string file, Findings& findings)
    : m_table(table)
    , m_file(std::move(file))
    , m_findings(findings)
{
}

SourceLocation TableReader::locationOf(const toml::value& value) const
{
    const auto location = value.location();
    return { m_file, location.line(), location.column() };
}

SourceLocation TableReader::locationOfValue(const std::string& key)
{
    const toml::value* value = find(key);
    return locationOf(value ? *value : m_table);
}

SourceLocation TableReader::locationOfKey(const std::string& key, const toml::value& value) const
{
    SourceLocation location = locationOf(value);
    const std::string line = value.location().line_str();
    const std::size_t found = line.substr(0, location.column - 1).rfind(key);
    if (found != std::string::npos && line[found + key.size()] != '"')
        location.column = found + 1;
    return location;
}

const toml::value* TableReader::find(const std::string& key)
{
    m_requested.insert(key);
    const auto& members = m_table.as_table();
    const auto found = members.find(key);
    return found == members.end() ? nullptr : &found->second;
}

void TableReader::errorAt(const std::string& key, std::string message)
{
    m_findings.error(locationOfValue(key), std::move(message));
}

void TableReader::warnAt(const std::string& key, std::string message)
{
    m_findings.warning(locationOfValue(key), std::move(message));
}

std::string TableReader::text(const std::string& key, std::string fallback, bool required)
{
    const toml::value* value = find(key);
    if (value && value->is_string())
        return value->as_string().str;
    if (value)
        errorAt(key, "'" + key + "' must be a string");
    else if (required)
        errorAt(key, "key '" + key + "' is missing");
    return fallback;
}

std::vector<std::string> TableReader::texts(const std::string& key)
{
    std::vector<std::string> result;
    const toml::value* value = find(key);
    if (!value)
        return result;
    if (!value->is_array()) {
        errorAt(key, "'" + key + "' must be an array of strings");
        return result;
    }
    for (const auto& item : value->as_array()) {
        if (item.is_string())
            result.push_back(item.as_string().str);
        else
            m_findings.error(locationOf(item), "'" + key + "' must hold strings");
    }
    return result;
}

std::int64_t TableReader::integer(
    const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    const toml::value* value = find(key);
    if (!value)
        return fallback;
    if (value->is_integer() && value->as_integer() >= low && value->as_integer() <= high)
        return value->as_integer();
    errorAt(key,
        "'" + key + "' must be an integer from " + std::to_string(low) + " to "
            + std::to_string(high));
    return fallback;
}

bool TableReader::isStated(const std::string& key)
{
    const toml::value* value = find(key);
    return value && !(value->is_string() && value->as_string().str.empty());
}

double TableReader::number(const std::string& key, double fallback, double low, double high)
{
    if (!isStated(key))
        return fallback;
    const auto number = numberOf(*find(key));
    if (number && *number >= low && *number <= high)
        return *number;
    const double used = number ? std::clamp(*number, low, high) : fallback;
    warnAt(key,
        "'" + key + "' must be a number from " + numberText(low) + " to " + numberText(high)
            + "; using " + numberText(used));
    return used;
}

bool TableReader::flag(const std::string& key, bool fallback)
{
    const toml::value* value = find(key);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->as_boolean();
    errorAt(key, "'" + key + "' must be true or false");
    return fallback;
}

void TableReader::reportUnknownKeys()
{
    for (const auto& [key, value] : m_table.as_table()) {
        if (!m_requested.contains(key))
            m_findings.error(locationOfKey(key, value),
                (value.is_table() ? "unknown table '" : "unknown key '") + key + "'");
    }
}

} // namespace laburnum
