/// Waiting for the decision on an idempotency claim.
#pragma once

#include <memory>
#include <optional>

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/claim_client.h>

#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Submits one spec to a claim client and waits for the decision with a time limit. A claim that is
/// granted after the limit is finished as NotRun.
class ClaimWaiter : public std::enable_shared_from_this<ClaimWaiter> {
public:
    ClaimWaiter(const asio::any_io_executor& strand, ClaimClient& client);

    void submit(const ClaimSpec& spec);
    /// The decision, or nullopt if there is none by `limit`.
    asio::awaitable<std::optional<ClaimDecision>> awaitDecision(SteadyTime limit);

private:
    void onDecision(ClaimDecision decision);

    asio::steady_timer m_event;
    ClaimClient& m_client;
    std::optional<ClaimDecision> m_decision;
    bool m_abandoned = false;
};

} // namespace laburnum::pvt
