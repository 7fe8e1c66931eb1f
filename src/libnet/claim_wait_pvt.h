/// Waiting for the decision on a claim.
#pragma once

#include <memory>
#include <optional>

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/claim_client.h>

#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Asks a gate once and waits for its decision with a limit. A claim that is granted too late is
/// given back as not run.
class ClaimWait : public std::enable_shared_from_this<ClaimWait> {
public:
    ClaimWait(const asio::any_io_executor& strand, ClaimClient& gate);

    void ask(const ClaimSpec& demand);
    /// The decision, or nothing if there is none by `limit`.
    asio::awaitable<std::optional<ClaimDecision>> decision(SteadyTime limit);

private:
    void settle(ClaimDecision decision);

    asio::steady_timer m_event;
    ClaimClient& m_gate;
    std::optional<ClaimDecision> m_decision;
    bool m_abandoned = false;
};

} // namespace laburnum::pvt
