/// Messages by which hosts spread configuration versions.
#pragma once

#include <vector>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/config_ledger.h>

namespace laburnum::pvt {

/// "I hold this revision": the sender offers its content to whoever lacks it.
constexpr const char* methodConfigOffer = "config.offer";
/// "Send me what you hold; I hold this revision."
constexpr const char* methodConfigWant = "config.want";
/// A whole version.
constexpr const char* methodConfigContent = "config.content";
/// "I hold this revision", in answer to an offer or a content.
constexpr const char* methodConfigAck = "config.ack";
/// The sender's revision and what it knows of other hosts' revisions.
constexpr const char* methodConfigDigest = "config.digest";

/// What one host is known to hold, and how long ago it said so.
struct RevisionRow {
    HostId host;
    Revision revision;
    Duration age {};
};

/// Body of config.digest.
struct ConfigDigest {
    Revision revision;
    std::vector<RevisionRow> rows;
    /// The receiver is to answer with its own digest.
    bool wantsReply = false;
};

/// More rows than this in one digest are refused.
constexpr std::size_t maxDigestRows = 64;

Json::Value encodeRevision(Revision revision);
Expected<Revision> decodeRevision(const Json::Value& value);
Json::Value encodeVersion(const ConfigVersion& version);
Expected<ConfigVersion> decodeVersion(const Json::Value& value);
Json::Value encodeDigest(const ConfigDigest& digest);
Expected<ConfigDigest> decodeDigest(const Json::Value& value);

} // namespace laburnum::pvt
