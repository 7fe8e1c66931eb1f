/// Checked reading of TOML: every wrong, missing or unknown key becomes a finding with its place.
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

/// Arrays and inline tables may nest this deep; the parser works recursively.
constexpr std::size_t maxTomlDepth = 64;

/// Parses `text`; a syntax error goes to `findings`, in one line, and gives nothing.
std::optional<toml::value> parseToml(
    std::string_view text, const std::string& fileName, Findings& findings);

/// Reads one table key by key and remembers which keys it was asked for. Keeps references to the
/// table and the findings, which must outlive it.
class TableReader {
public:
    TableReader(const toml::value& table, std::string file, Findings& findings);

    /// Where `value` stands.
    SourceLocation locationOf(const toml::value& value) const;
    /// Where the value of `key` stands, or the table when the key is missing.
    SourceLocation locationOfValue(const std::string& key);
    /// Where the name of `key`, which holds `value`, stands.
    SourceLocation locationOfKey(const std::string& key, const toml::value& value) const;
    /// The value of `key`, or null.
    const toml::value* find(const std::string& key);
    /// True when `key` is present; counts as known from then on.
    bool has(const std::string& key) { return find(key) != nullptr; }

    /// A string; `fallback` when the key is missing or wrong. A missing required key is a finding.
    std::string text(const std::string& key, std::string fallback, bool required);
    /// An array of strings; empty when the key is missing.
    std::vector<std::string> texts(const std::string& key);
    /// An integer in [low, high]; `fallback` when the key is missing or wrong.
    std::int64_t integer(
        const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /// true or false; `fallback` when the key is missing or wrong.
    bool flag(const std::string& key, bool fallback);
    /// Every key that no call asked for is a finding.
    void reportUnknownKeys();

    const std::string& file() const noexcept { return m_file; }
    Findings& findings() noexcept { return m_findings; }
    /// Reports `message` at the value of `key`, or at the table when the key is missing.
    void errorAt(const std::string& key, std::string message);

private:
    const toml::value& m_table;
    std::string m_file;
    Findings& m_findings;
    std::set<std::string> m_known;
};

/// Reads the array of tables `key` of `root` with `readOne`.
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
