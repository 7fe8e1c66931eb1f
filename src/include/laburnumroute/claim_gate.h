/// Claims on idempotency keys as the request path sees them: ask before a keyed request runs, tell
/// afterwards how it ended.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <laburnumroute/http_message.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Identifies one granted claim; unique within a host.
using ClaimId = StrongId<struct ClaimTag, std::uint64_t>;
/// Hash of the parts of a request that must be equal for two requests to be the same request.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, std::string>;

/// A whole answer as it was passed to the caller, without hop-by-hop fields.
struct StoredAnswer {
    /// Largest body that is stored, in bytes.
    static constexpr std::size_t maxBodyBytes = std::size_t { 64 } * 1024;

    unsigned status = 0;
    std::string reason;
    std::vector<HeaderField> fields;
    std::string body;
};

/// The request may run; the host ends the claim with ClaimGate::finish().
struct ClaimRun {
    ClaimId claim;
};
/// The request ran before; its answer is known.
struct ClaimReplay {
    StoredAnswer answer;
};
/// The same request is running now.
struct ClaimInProgress { };
/// The request may have run before; its answer is not known. It must not run again.
struct ClaimUnknown { };
/// No claim was granted, and the request did not run under this one.
struct ClaimRefused {
    enum class Cause {
        /// The key belongs to another request.
        KeyReused,
        /// The claims cannot be reached.
        Unreachable,
    };
    Cause cause = Cause::Unreachable;
};

using ClaimDecision
    = std::variant<ClaimRun, ClaimReplay, ClaimInProgress, ClaimUnknown, ClaimRefused>;

/// How a claimed request ended.
struct ClaimOutcome {
    enum class Kind { Answered, NotRun, Unknown };
    Kind kind = Kind::Unknown;
    /// With Answered: the answer, unless it was too large or did not arrive whole.
    std::optional<StoredAnswer> answer;
};

/// Grants claims. Calls may come from any thread.
class ClaimGate {
public:
    using Callback = std::function<void(ClaimDecision)>;

    virtual ~ClaimGate() = default;
    /// Asks to run the request with `key`. `callback` is called once, from any thread, also before
    /// begin() returns.
    virtual void begin(const ServiceId& service, const IdempotencyKey& key,
        const RequestFingerprint& fingerprint, Callback callback)
        = 0;
    /// Ends a claim that begin() granted.
    virtual void finish(ClaimId claim, ClaimOutcome outcome) = 0;
};

} // namespace laburnum
