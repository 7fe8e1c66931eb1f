/// The decision log: one JSON line per routing, placement, ejection, retry or refusal decision.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include <json/value.h>

namespace laburnum {

/// One decision. `kind` is the sort of decision (`route`, `eject`, ...), `reason` a stable word,
/// `facts` the numbers on which it rested.
struct Decision {
    std::string kind;
    std::string reason;
    Json::Value facts { Json::objectValue };
    /// Needed to explain a request that failed: never counted instead of written.
    bool alwaysLog = false;
};

/// Renders `decision` as one line of JSON without a line end.
std::string formatDecision(const Decision& decision);

/// Sink of decisions; safe from any thread, never blocks on the disk.
class DecisionLog {
public:
    virtual ~DecisionLog() = default;
    virtual void record(const Decision& decision) = 0;
    /// Lines lost because nobody took them in time.
    virtual std::uint64_t dropped() const { return 0; }
};

/// Drops every decision.
class NullDecisionLog final : public DecisionLog {
public:
    void record(const Decision& /*decision*/) override { }
};

} // namespace laburnum
