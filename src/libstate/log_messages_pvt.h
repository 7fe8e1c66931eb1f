/// Messages between members of the replicated log. Commands and snapshot bytes are base64-encoded.
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
constexpr const char* methodFounding = "log.founding";
constexpr const char* methodFoundingVote = "log.founding-vote";

/// Common fields of all messages except join requests.
struct LogHeader {
    Term term;
    MemberId sender;
    /// A member with another id ignores the message.
    MemberId target;
};

struct VoteRequest {
    LogHeader header;
    /// Asks whether a vote would be granted, without changing any term.
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
    LogIndex commitIndex;
    /// The highest index that the target acknowledged in this term, its match index.
    LogIndex acknowledged;
    /// The leader's clock at sending; echoed in the response.
    std::uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendResponse {
    LogHeader header;
    bool matched = false;
    /// If matched, the highest index known to match the leader's log; otherwise the index at which
    /// to look for a match next.
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
    /// The next expected offset; the total size once the snapshot is installed.
    std::uint64_t offset = 0;
    std::uint64_t sentAt = 0;
};

/// Sent by a host that is not a member, as far as it knows.
struct JoinRequest {
    MemberId sender;
    /// The sender has no log entries.
    bool hasEmptyLog = false;
    /// Drawn at random when the sender starts.
    std::uint64_t nonce = 0;
    /// The last nonce received from the target; 0 for none.
    std::uint64_t echo = 0;
    /// The sender's host when another member forwards the request; otherwise empty.
    HostId host;
};

/// Asks for a vote for the sender as the founder of the log in its term.
struct FoundingRequest {
    LogHeader header;
};

struct FoundingVote {
    LogHeader header;
    bool granted = false;
    /// The term of the request.
    Term requested;
};

Json::Value encode(const VoteRequest& message);
Json::Value encode(const VoteResponse& message);
Json::Value encode(const AppendRequest& message);
Json::Value encode(const AppendResponse& message);
Json::Value encode(const ChunkRequest& message);
Json::Value encode(const ChunkResponse& message);
Json::Value encode(const JoinRequest& message);
Json::Value encode(const FoundingRequest& message);
Json::Value encode(const FoundingVote& message);

/// Empty when `value` is malformed.
std::optional<VoteRequest> decodeVoteRequest(const Json::Value& value);
std::optional<VoteResponse> decodeVoteResponse(const Json::Value& value);
std::optional<AppendRequest> decodeAppendRequest(const Json::Value& value);
std::optional<AppendResponse> decodeAppendResponse(const Json::Value& value);
std::optional<ChunkRequest> decodeChunkRequest(const Json::Value& value);
std::optional<ChunkResponse> decodeChunkResponse(const Json::Value& value);
std::optional<JoinRequest> decodeJoinRequest(const Json::Value& value);
std::optional<FoundingRequest> decodeFoundingRequest(const Json::Value& value);
std::optional<FoundingVote> decodeFoundingVote(const Json::Value& value);

} // namespace laburnum::pvt
