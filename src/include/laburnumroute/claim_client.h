/// Client interface to claims on idempotency keys: a claim is requested before a keyed request is
/// executed, and its outcome is reported afterwards.
#pragma once

#include <functional>

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claims.h>

namespace laburnum {

/// Grants claims. Calls may come from any thread.
class ClaimClient {
public:
    using Callback = std::function<void(ClaimDecision)>;

    /// Maximum body size, in bytes, of a response that is passed to finish() for storage.
    static constexpr std::size_t maxStoredBodyBytes = std::size_t { 64 } * 1024;

    virtual ~ClaimClient() = default;
    /// Requests a claim. `callback` is called at most once, from any thread, also before
    /// begin() returns; it is destroyed before the server's io_context.
    virtual void begin(const ClaimSpec& spec, Callback callback) = 0;
    /// Reports the outcome of a granted claim. `response` is null unless it is complete.
    virtual void finish(const ClaimId& claim, ClaimOutcome outcome, const StoredResponse* response)
        = 0;
};

} // namespace laburnum
