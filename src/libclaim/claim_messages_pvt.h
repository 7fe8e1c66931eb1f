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

/// Asks a claim host to grant a claim.
struct ClaimRequest {
    ClaimSpec demand;
    ClaimId claim;
    std::uint64_t epoch = 0;
};

/// A claim host's answer. Granted: Run. Unavailable: the host cannot grant now.
struct ClaimReply {
    ClaimId claim;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::optional<StoredResponse> answer;
};

/// Tells a claim host how a claim ended.
struct ClaimEndNotice {
    ClaimKey key;
    ClaimId claim;
    std::string fingerprint;
    ClaimOutcome end = ClaimOutcome::Unknown;
    std::optional<StoredResponse> answer;
};

/// Asks another claim host for what it knows of the keys that the sender keeps.
struct ClaimFetch {
    std::uint64_t epoch = 0;
    /// Where to go on; empty at the start.
    std::string position;
    /// The asking process.
    std::string life;
};

/// A part of the answer to a fetch.
struct ClaimFetched {
    std::uint64_t epoch = 0;
    /// The answering host is itself recovering and has nothing that the sender could rely on.
    bool alsoNew = false;
    bool complete = false;
    /// The answering host became ready when the asking process was new, together with it.
    bool witness = false;
    std::string position;
    /// The answering process.
    std::string life;
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

/// One record as the journal and fetches carry it.
Json::Value encodeRecord(const ClaimKey& key, const ClaimRecord& record, TimePoint now);
/// The inverse; the time that is left counts from `now`.
Expected<std::pair<ClaimKey, ClaimRecord>> decodeRecord(const Json::Value& value, TimePoint now);

Json::Value encodeKey(const ClaimKey& key);
Expected<ClaimKey> decodeKey(const Json::Value& value);
/// Text that sorts like the key, as position of a fetch.
std::string positionOf(const ClaimKey& key);

} // namespace laburnum::pvt
