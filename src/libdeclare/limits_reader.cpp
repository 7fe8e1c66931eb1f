// Reads the table [limits]; see config_reader_pvt.h.

#include "config_reader_pvt.h"

namespace laburnum::pvt {

namespace {

    constexpr std::int64_t minHeadBytes = 256;
    constexpr std::int64_t maxHeadBytes = std::int64_t { 1 } << 20U;
    constexpr std::int64_t maxBodyBytes = std::int64_t { 1 } << 40U;
    constexpr std::int64_t maxTimeoutMs = 3'600'000;

} // namespace

CallerLimits readLimits(TableReader& root)
{
    CallerLimits limits;
    const toml::value* table = root.find("limits");
    if (!table)
        return limits;
    if (!table->is_table()) {
        root.errorAt("limits", "must be a table");
        return limits;
    }
    TableReader reader(*table, root.file(), root.findings());
    limits.headBytes = static_cast<std::uint32_t>(
        reader.integer("head_bytes", limits.headBytes, minHeadBytes, maxHeadBytes));
    limits.bodyBytes = static_cast<std::uint64_t>(reader.integer("body_bytes", 0, 0, maxBodyBytes));
    limits.headTimeout = std::chrono::milliseconds(
        reader.integer("head_timeout_ms", toMillis(limits.headTimeout), 1, maxTimeoutMs));
    limits.idleTimeout = std::chrono::milliseconds(
        reader.integer("idle_timeout_ms", toMillis(limits.idleTimeout), 1, maxTimeoutMs));
    reader.reportUnknownKeys();
    return limits;
}

} // namespace laburnum::pvt
