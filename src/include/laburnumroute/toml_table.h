/// Checked reading of TOML tables: wrong, missing and unknown keys become findings with a location.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml.hpp>

#include <laburnumroute/findings.h>

namespace laburnum {

/// Deepest nesting of arrays and inline tables. The recursive parser could run out of stack on
/// deeper input.
constexpr std::size_t maxTomlDepth = 64;

/// Parses `text`. After a syntax error, which goes to `findings` as one line, the result is empty.
std::optional<toml::value> parseToml(
    std::string_view text, const std::string& fileName, Findings& findings);

/// Reads one table key by key and records which keys were requested. Keeps references to the table
/// and the findings, which must outlive it.
class TableReader {
public:
    TableReader(const toml::value& table, std::string file, Findings& findings);

    /// Location of `value`.
    SourceLocation locationOf(const toml::value& value) const;
    /// Location of the value of `key`, or of the table when the key is missing.
    SourceLocation locationOfValue(const std::string& key);
    /// Location of the name of `key`, whose value is `value`.
    SourceLocation locationOfKey(const std::string& key, const toml::value& value) const;
    /// The value of `key`, or null. The key counts as requested from then on, as with has() and the
    /// functions that read a value.
    const toml::value* find(const std::string& key);
    /// True when `key` is present.
    bool has(const std::string& key) { return find(key) != nullptr; }

    /// A string; `fallback` when the key is missing or has a wrong type. A missing required key is
    /// a finding.
    std::string text(const std::string& key, std::string fallback, bool required);
    /// An array of strings; empty when the key is missing.
    std::vector<std::string> texts(const std::string& key);
    /// An integer in [low, high]; `fallback` when the key is missing or its value is invalid.
    std::int64_t integer(
        const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /// True when `key` is present and not an empty text.
    bool isStated(const std::string& key);
    /// A number in [low, high], written as an integer, a float or the text of either. `fallback`
    /// when the key is not stated or its value is no number; the nearest bound when it is out of
    /// range. Both problems are warnings: for values that a host can do without.
    double number(const std::string& key, double fallback, double low, double high);
    /// A boolean; `fallback` when the key is missing or has a wrong type.
    bool flag(const std::string& key, bool fallback);
    /// Reports every key that was never requested as an error.
    void reportUnknownKeys();

    const std::string& file() const noexcept { return m_file; }
    Findings& findings() noexcept { return m_findings; }
    /// Reports an error at the value of `key`, or at the table when the key is missing.
    void errorAt(const std::string& key, std::string message);
    void warnAt(const std::string& key, std::string message);

private:
    const toml::value& m_table;
    std::string m_file;
    Findings& m_findings;
    std::set<std::string> m_requested;
};

/// Reads each table of the array `key` in `root` with `readOne`.
template <class Spec>
std::vector<Spec> readTables(TableReader& root, const std::string& key,
    Spec (*readOne)(const toml::value& table, const std::string& file, Findings& findings))
{
    std::vector<Spec> specs;
    const toml::value* tables = root.find(key);
    if (!tables)
        return specs;
    if (!tables->is_array()) {
        root.errorAt(key, "must be an array of tables");
        return specs;
    }
    for (const auto& table : tables->as_array()) {
        if (table.is_table())
            specs.push_back(readOne(table, root.file(), root.findings()));
        else
            root.findings().error(root.locationOf(table), "must be a table");
    }
    return specs;
}

} // namespace laburnum
