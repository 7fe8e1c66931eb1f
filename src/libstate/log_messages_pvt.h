/// Messages between members of the replicated log. Commands and snapshot bytes travel as base64.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <laburnumroute/log_store.h>
#include <laburnumroute/membership.h>

namespace laburnum::pvt {

constexpr const char* methodVote = "log.vote";
constexpr const char* methodVoted = "log.voted";
constexpr const char* methodAppend = "log.append";
constexpr const char* methodAppended = "log.appended";
constexpr const char* methodChunk = "log.chunk";
constexpr const char* methodChunked = "log.chunked";
constexpr const char* methodJoin = "log.join";

/// Stands in every message but joins.
struct LogHeader {
    Term term;
    MemberId sender;
    /// A member with another identity ignores the message.
    MemberId target;
};

struct VoteRequest {
    LogHeader header;
    /// Asks whether a vote would be granted; nobody changes its term for it.
    bool preVote = false;
    LogIndex lastIndex;
    Term lastTerm;
};

struct VoteResponse {
    LogHeader header;
    bool preVote = false;
    bool granted = false;
    /// The term of the request.
    Term requested;
};

struct AppendRequest {
    LogHeader header;
    LogIndex previous;
    Term previousTerm;
    LogIndex commit;
    /// The highest index that the target acknowledged in this term.
    LogIndex acknowledged;
    /// The leader's clock when it sent this; echoed.
    std::uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendResponse {
    LogHeader header;
    bool matched = false;
    /// Matched: the highest index known to equal the leader's. Else: where to try next.
    LogIndex index;
    std::uint64_t sentAt = 0;
};

struct ChunkRequest {
    LogHeader header;
    LogIndex index;
    Term lastTerm;
    Membership membership;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string bytes;
    std::uint64_t sentAt = 0;
};

struct ChunkResponse {
    LogHeader header;
    LogIndex index;
    /// The offset wanted next; the total when the snapshot is installed.
    std::uint64_t offset = 0;
    std::uint64_t sentAt = 0;
};

/// Sent by a member that is in no membership that it knows.
struct JoinRequest {
    MemberId sender;
    /// Holds no log at all.
    bool blank = false;
    /// Drawn at the sender's start.
    std::uint64_t nonce = 0;
    /// The nonce last received from the target; 0 for none.
    std::uint64_t echo = 0;
    /// The sender's host when another member passes the request on; else empty.
    HostId host;
};

Json::Value encode(const VoteRequest& message);
Json::Value encode(const VoteResponse& message);
Json::Value encode(const AppendRequest& message);
Json::Value encode(const AppendResponse& message);
Json::Value encode(const ChunkRequest& message);
Json::Value encode(const ChunkResponse& message);
Json::Value encode(const JoinRequest& message);

/// Nothing when `value` is malformed.
std::optional<VoteRequest> decodeVoteRequest(const Json::Value& value);
std::optional<VoteResponse> decodeVoteResponse(const Json::Value& value);
std::optional<AppendRequest> decodeAppendRequest(const Json::Value& value);
std::optional<AppendResponse> decodeAppendResponse(const Json::Value& value);
std::optional<ChunkRequest> decodeChunkRequest(const Json::Value& value);
std::optional<ChunkResponse> decodeChunkResponse(const Json::Value& value);
std::optional<JoinRequest> decodeJoinRequest(const Json::Value& value);

} // namespace laburnum::pvt
