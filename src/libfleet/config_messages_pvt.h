/// Messages of configuration gossip and their codecs.
#pragma once

#include <vector>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/config_ledger.h>

namespace laburnum::pvt {

/// Sender's revision; offers the content to a receiver with a lower one.
constexpr const char* methodConfigOffer = "config.offer";
/// Requests the receiver's version; carries the sender's current revision.
constexpr const char* methodConfigWant = "config.want";
/// A complete version with its content.
constexpr const char* methodConfigContent = "config.content";
/// Sender's revision, in reply to an offer or to content.
constexpr const char* methodConfigAck = "config.ack";
/// Sender's revision and the latest revisions it knows of other hosts.
constexpr const char* methodConfigDigest = "config.digest";

/// Last known revision of a host and the time since the host reported it.
struct RevisionRow {
    HostId host;
    Revision revision;
    Duration age {};
};

/// Body of config.digest.
struct ConfigDigest {
    Revision revision;
    std::vector<RevisionRow> rows;
    /// Whether the receiver must reply with its own digest or content.
    bool wantsReply = false;
};

/// Digests with more rows are rejected.
constexpr std::size_t maxDigestRows = 64;

Json::Value encodeRevision(Revision revision);
Expected<Revision> decodeRevision(const Json::Value& value);
Json::Value encodeVersion(const ConfigVersion& version);
Expected<ConfigVersion> decodeVersion(const Json::Value& value);
Json::Value encodeDigest(const ConfigDigest& digest);
Expected<ConfigDigest> decodeDigest(const Json::Value& value);

} // namespace laburnum::pvt
