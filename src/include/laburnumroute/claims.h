/// Claims: at most one execution per idempotency key, across hosts, data centres and crashes.
///
/// A claim is a write-once entry for (service, key), replicated on three claim hosts that are
/// selected by service and key. A request is executed only when a majority of them has granted its
/// claim; a grant is sent only after it has been synced to disk. A claim host with an empty data
/// folder grants nothing for a key until it has fetched the claims known to the key's other hosts
/// (docs/design/claims.md).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/http_message.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// An idempotency key within a service.
struct ClaimKey {
    ServiceId service;
    IdempotencyKey key;

    friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// One attempt to claim a key; unique across all hosts and restarts.
using ClaimId = StrongId<struct ClaimTag, std::string>;

/// A complete response stored for callers that resend the request. The body is stored byte for
/// byte.
struct StoredResponse {
    unsigned status = 0;
    std::vector<HeaderField> fields;
    std::string body;
};

/// Final outcome of a claim.
enum class ClaimOutcome {
    /// The request was executed and answered.
    Answered,
    /// The request is known not to have been executed; the key is free again.
    NotRun,
    /// The request may have been executed; the key is not executed again.
    Unknown,
};

/// Result of requesting a claim.
enum class ClaimVerdict {
    /// The claim is granted: this request may be executed.
    Run,
    /// An earlier request with the key was answered; `answer` holds the stored response.
    Replay,
    /// An earlier request was answered, but its response was too large to store or was discarded.
    ResponseNotStored,
    /// An earlier request with the key is still being executed.
    InProgress,
    /// The outcome of an earlier request with the key is unknown.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// No majority of the claim hosts replied in time; the request was not executed.
    Unavailable,
};

/// Stable name of `verdict`, used in messages, logs and headers.
const char* claimVerdictName(ClaimVerdict verdict) noexcept;

/// A verdict and its details.
struct ClaimDecision {
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// The claim to finish; set with Run.
    ClaimId claim;
    /// Set with Replay.
    StoredResponse answer;
};

/// A host that stores claims, as configured in the settings.
struct ClaimHost {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;

    friend auto operator<=>(const ClaimHost&, const ClaimHost&) = default;
};

/// Selects the claim hosts of each key. Immutable; equal host lists give equal results on all
/// hosts.
class ClaimPlacement {
public:
    static constexpr std::size_t replicas = 3;

    explicit ClaimPlacement(std::vector<ClaimHost> hosts);

    /// Up to three hosts for `key`, selected by rendezvous hashing, in different regions and data
    /// centres as far as the host list allows.
    std::vector<HostId> replicasOf(const ClaimKey& key) const;
    /// Number of grants needed to execute a request: a majority of the replicas of a key.
    std::size_t majority() const noexcept;
    /// Identifies the host list. Hosts with different lists never grant each other claims.
    std::uint64_t epoch() const noexcept { return m_epoch; }
    const std::vector<ClaimHost>& hosts() const noexcept { return m_hosts; }

private:
    std::vector<ClaimHost> m_hosts;
    std::uint64_t m_epoch = 0;
};

} // namespace laburnum
