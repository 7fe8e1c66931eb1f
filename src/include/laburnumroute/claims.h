/// Claims: at most one run per idempotency key, across hosts, data centres and crashes.
///
/// A claim is a write-once entry for (service, key) at three claim hosts, which the key alone
/// selects. A request runs only when a majority of them has granted its claim, and a grant counts
/// only once it is synced. A claim host whose data folder is new grants nothing for a key until it
/// has fetched what the key's other hosts know (docs/design/claims.md).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/http_message.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Names one idempotency key of one service.
struct ClaimKey {
    ServiceId service;
    IdempotencyKey key;

    friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// One try to run a request; unique over all hosts and restarts.
using ClaimId = StrongId<struct ClaimTag, std::string>;

/// A whole answer kept for callers that resend. Bytes of the body as they were sent.
struct StoredResponse {
    unsigned status = 0;
    std::vector<HeaderField> fields;
    std::string body;
};

/// How a claim ended.
enum class ClaimOutcome {
    /// The request ran and was answered.
    Answered,
    /// The request is proved not to have run; the key is free again.
    NotRun,
    /// The request may have run; the key is never run again.
    Unknown,
};

/// What a request that asks for a claim is told.
enum class ClaimVerdict {
    /// This request holds the claim and runs.
    Run,
    /// An earlier request with the key was answered; `answer` is its answer.
    Replay,
    /// An earlier request was answered, but the answer was too large to keep or was dropped.
    ResponseNotStored,
    /// An earlier request with the key still runs.
    InProgress,
    /// An earlier request with the key ended without a known outcome.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// No majority of the claim hosts answered in time; nothing ran.
    Unavailable,
};

/// Stable word for `verdict`, as it stands in logs and headers.
const char* claimVerdictName(ClaimVerdict verdict) noexcept;

/// Verdict with what belongs to it.
struct ClaimDecision {
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// The claim to finish; set with Run.
    ClaimId claim;
    /// Set with Replay.
    StoredResponse answer;
};

/// A host that keeps claims, as settings name it.
struct ClaimHost {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;

    friend auto operator<=>(const ClaimHost&, const ClaimHost&) = default;
};

/// Selects the claim hosts of each key. Immutable; the same list gives the same choice everywhere.
class ClaimPlacement {
public:
    static constexpr std::size_t replicas = 3;

    explicit ClaimPlacement(std::vector<ClaimHost> hosts);

    /// Up to three hosts for `key`, by rendezvous hashing, in different regions and data centres as
    /// far as the list allows.
    std::vector<HostId> replicasOf(const ClaimKey& key) const;
    /// Number of grants that let a request run: a majority of the replicas of any key.
    std::size_t majority() const noexcept;
    /// Identifies the list; hosts with different lists never grant each other claims.
    std::uint64_t epoch() const noexcept { return m_epoch; }
    const std::vector<ClaimHost>& hosts() const noexcept { return m_hosts; }

private:
    std::vector<ClaimHost> m_hosts;
    std::uint64_t m_epoch = 0;
};

} // namespace laburnum
