/// The decision log: one JSON line per routing, placement, ejection, retry or refusal decision.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include <json/value.h>

namespace laburnum {

/// One decision. `kind` is its category (`route`, `eject`, ...), `reason` a stable identifier, and
/// `facts` holds the values it was based on.
struct Decision {
    std::string kind;
    std::string reason;
    Json::Value facts { Json::objectValue };
    /// Exempt from rate limiting, because the line is needed to explain a failed request.
    bool alwaysLog = false;
};

/// Formats `decision` as one line of JSON without a line feed.
std::string formatDecision(const Decision& decision);

/// Sink for decisions. Thread-safe; never blocks on disk I/O.
class DecisionLog {
public:
    virtual ~DecisionLog() = default;
    virtual void record(const Decision& decision) = 0;
    /// Number of lines lost because they were not consumed in time.
    virtual std::uint64_t dropped() const { return 0; }
};

/// Discards every decision.
class NullDecisionLog final : public DecisionLog {
public:
    void record(const Decision& /*decision*/) override { }
};

} // namespace laburnum
