/// Messages between claim coordinators and claim hosts, and their codecs.
#pragma once

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claim_replica.h>
#include <laburnumroute/error.h>

#include <json/value.h>

namespace laburnum::pvt {

constexpr const char* methodRequest = "claim.request";
constexpr const char* methodReply = "claim.reply";
constexpr const char* methodEnd = "claim.end";
constexpr const char* methodConfirm = "claim.confirm";
constexpr const char* methodFetch = "claim.fetch";
constexpr const char* methodFetched = "claim.fetched";

/// Requests a claim from a claim host.
struct ClaimRequest {
    ClaimSpec spec;
    ClaimId claim;
    std::uint64_t epoch = 0;
};

/// Reply of a claim host. Run: granted. Unavailable: the host cannot grant the claim now.
struct ClaimReply {
    ClaimId claim;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::optional<StoredResponse> response;
};

/// Reports the outcome of a claim to a claim host.
struct ClaimEndNotice {
    ClaimKey key;
    ClaimId claim;
    std::string fingerprint;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<StoredResponse> response;
};

/// Requests the claims of another claim host on keys that are assigned to the sender.
struct ClaimFetch {
    std::uint64_t epoch = 0;
    /// Position after which to continue; empty for the first request.
    std::string position;
    /// Nonce of the requesting process.
    std::string nonce;
};

/// One part of the reply to a fetch.
struct ClaimFetched {
    std::uint64_t epoch = 0;
    /// The replying host is itself recovering, so its claims are not complete.
    bool withoutHistory = false;
    bool complete = false;
    /// The replying host became ready as part of a new fleet, while the requesting process was new
    /// too.
    bool confirmsNewHost = false;
    std::string position;
    /// Nonce of the replying process.
    std::string nonce;
    std::vector<Json::Value> entries;
};

Json::Value encode(const ClaimRequest& message);
Json::Value encode(const ClaimReply& message);
Json::Value encode(const ClaimEndNotice& message);
Json::Value encode(const ClaimFetch& message);
Json::Value encode(const ClaimFetched& message);
Json::Value encodeConfirm(const ClaimId& claim);

Expected<ClaimRequest> decodeRequest(const Json::Value& value);
Expected<ClaimReply> decodeReply(const Json::Value& value);
Expected<ClaimEndNotice> decodeEnd(const Json::Value& value);
Expected<ClaimFetch> decodeFetch(const Json::Value& value);
Expected<ClaimFetched> decodeFetched(const Json::Value& value);

/// Encodes one record for the journal and for fetches.
Json::Value encodeRecord(const ClaimKey& key, const ClaimRecord& record, TimePoint now);
/// The inverse of encodeRecord(); the remaining time counts from `now`.
Expected<std::pair<ClaimKey, ClaimRecord>> decodeRecord(const Json::Value& value, TimePoint now);

Json::Value encodeKey(const ClaimKey& key);
Expected<ClaimKey> decodeKey(const Json::Value& value);
/// Encodes `key` as the position of a fetch.
std::string positionOf(const ClaimKey& key);

} // namespace laburnum::pvt
