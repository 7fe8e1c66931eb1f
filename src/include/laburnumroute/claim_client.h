/// Claims on idempotency keys as the request path sees them: ask before a keyed request runs, tell
/// afterwards how it ended.
#pragma once

#include <functional>

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claims.h>

namespace laburnum {

/// Grants claims. Calls may come from any thread.
class ClaimClient {
public:
    using Callback = std::function<void(ClaimDecision)>;

    /// Largest body of an answer that is handed over for storage, in bytes.
    static constexpr std::size_t maxStoredBodyBytes = std::size_t { 64 } * 1024;

    virtual ~ClaimClient() = default;
    /// Asks to run a request. `callback` is called at most once, from any thread, also before
    /// begin() returns; it is dropped before the server's io_context goes.
    virtual void begin(const ClaimSpec& demand, Callback callback) = 0;
    /// Ends a claim that begin() granted. `answer` is null unless the whole answer is at hand.
    virtual void finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer) = 0;
};

} // namespace laburnum
