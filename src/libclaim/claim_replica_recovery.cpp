// Opening, fetching from other claim hosts and rewriting the journal; see claim_replica.h.

#include <laburnumroute/claim_replica.h>

#include <algorithm>

#include <laburnumroute/json.h>

#include "claim_journal_pvt.h"
#include "claim_messages_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr auto fetchInterval = std::chrono::milliseconds(500);
    constexpr Duration grantSettleTime = 2 * ClaimCoordinator::requestTimeout;
    constexpr std::size_t maxFetchEntries = 500;
    constexpr std::size_t maxFetchBytes = std::size_t { 1024 } * 1024;

    /// Journal entry with the epoch of the placement for which the host became ready.
    Json::Value readyEntry(std::uint64_t epoch)
    {
        Json::Value entry(Json::objectValue);
        entry["ready"] = Json::UInt64(epoch);
        return entry;
    }

    bool contains(const std::vector<HostId>& hosts, const HostId& host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

} // namespace

ClaimReplica::ClaimReplica(
    HostId self, ClaimPlacement placement, ClaimLimits limits, Storage& storage, std::string nonce)
    : m_self(std::move(self))
    , m_nonce(std::move(nonce))
    , m_placement(std::move(placement))
    , m_limits(limits)
    , m_storage(storage)
{
    for (const auto& host : m_placement.hosts()) {
        if (host.host != m_self)
            m_peers[host.host] = {};
    }
}

Expected<void> ClaimReplica::open(TimePoint now)
{
    m_started = now;
    const auto text = m_storage.read(journalFile);
    if (!text && text.error().code == ErrorCode::NotFound)
        return {};
    if (!text)
        return tl::unexpected<Error>(text.error());
    const auto content = readJournal(*text);
    if (!content)
        return tl::unexpected<Error>(content.error());
    if (content->completeBytes < text->size()) {
        if (auto cut = m_storage.truncate(journalFile, content->completeBytes); !cut)
            return cut;
    }
    m_journalBytes = content->completeBytes;
    for (const auto& entry : content->entries) {
        if (auto loaded = loadEntry(entry, now); !loaded)
            return loaded;
    }
    return {};
}

Expected<void> ClaimReplica::loadEntry(const Json::Value& entry, TimePoint now)
{
    if (entry.isMember("ready")) {
        const auto epoch = unsignedMember(entry, "ready");
        m_ready = epoch && *epoch == m_placement.epoch();
        m_hasHistory = true;
        return {};
    }
    if (entry.isMember("drop")) {
        const auto key = decodeKey(entry);
        if (!key)
            return tl::unexpected<Error>(key.error());
        erase(*key);
        return {};
    }
    auto record = decodeRecord(entry, now);
    if (!record)
        return tl::unexpected<Error>(record.error());
    // The downtime of the host is unknown, so the retention of an ended claim starts again.
    if (record->second.outcome)
        record->second.expires = now + m_limits.retention;
    insert(record->first, std::move(record->second));
    return {};
}

bool ClaimReplica::mayGrant(const ClaimKey& key) const
{
    return m_ready && contains(m_placement.replicasOf(key), m_self);
}

void ClaimReplica::updateReady(TimePoint now)
{
    if (m_ready)
        return;
    std::size_t complete = 0;
    std::size_t withoutHistory = 0;
    bool confirmedNew = false;
    for (const auto& [host, peer] : m_peers) {
        complete += peer.complete ? 1 : 0;
        withoutHistory += !peer.complete && peer.withoutHistory ? 1 : 0;
        confirmedNew = confirmedNew || peer.confirmsNewHost;
    }
    // A host that has never granted a claim has lost none and may rely on peers that are new too:
    // it becomes ready if all peers are new, or if a peer that has become ready since confirms that
    // all hosts, including this process, were new at that time.
    const bool neverGranted = !m_hasHistory && (withoutHistory == m_peers.size() || confirmedNew);
    const bool allComplete = complete == m_peers.size();
    const bool newFleet = neverGranted && complete + withoutHistory == m_peers.size();
    if (!allComplete && !newFleet && now - m_started <= m_limits.retention)
        return;
    if (newFleet) {
        for (const auto& [host, peer] : m_peers)
            m_newPeers[host] = peer.nonce;
    }
    m_ready = true;
    m_hasHistory = true;
    appendJournal(readyEntry(m_placement.epoch()));
}

void ClaimReplica::fetch(TimePoint now, Outbox& out)
{
    // A coordinator may still count a grant that this host gave before it lost its disk. After
    // grantSettleTime the other hosts of that claim have it, or the coordinator has given up.
    if (now < m_nextFetch || now < m_started + grantSettleTime)
        return;
    m_nextFetch = now + fetchInterval;
    for (const auto& [host, state] : m_peers) {
        if (!state.complete)
            sendFetch(host, state, out);
    }
}

void ClaimReplica::sendFetch(const HostId& peer, const PeerFetch& state, Outbox& out)
{
    out.send(
        peer, methodFetch, encode(ClaimFetch { m_placement.epoch(), state.position, m_nonce }));
}

void ClaimReplica::onFetch(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto request = decodeFetch(message.params);
    if (!request || request->epoch != m_placement.epoch())
        return;
    ClaimFetched reply { m_placement.epoch() };
    reply.withoutHistory = !m_hasHistory;
    reply.complete = m_hasHistory;
    reply.nonce = m_nonce;
    const auto newPeer = m_newPeers.find(message.from);
    reply.confirmsNewHost = newPeer != m_newPeers.end() && newPeer->second == request->nonce;
    std::size_t bytes = 0;
    auto next = m_claims.begin();
    if (!request->position.empty()) {
        const auto after = parseJson(request->position);
        const auto key
            = after ? decodeKey(*after) : Expected<ClaimKey>(tl::unexpected<Error>(after.error()));
        next = key ? m_claims.upper_bound(*key) : next;
    }
    for (; next != m_claims.end(); ++next) {
        if (!contains(m_placement.replicasOf(next->first), message.from))
            continue;
        if (reply.entries.size() >= maxFetchEntries || bytes > maxFetchBytes) {
            reply.complete = false;
            break;
        }
        reply.entries.push_back(encodeRecord(next->first, next->second, now));
        reply.position = positionOf(next->first);
        bytes += next->second.response ? next->second.response->body.size() : 0;
    }
    out.send(message.from, methodFetched, encode(reply));
}

void ClaimReplica::onFetched(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto part = decodeFetched(message.params);
    const auto peer = m_peers.find(message.from);
    if (!part || part->epoch != m_placement.epoch() || peer == m_peers.end()
        || peer->second.complete)
        return;
    for (const auto& entry : part->entries) {
        auto record = decodeRecord(entry, now);
        if (!record)
            return;
        const auto held = m_claims.find(record->first);
        const bool isNewer
            = held == m_claims.end() || (!held->second.outcome && record->second.outcome);
        if (isNewer)
            store(record->first, std::move(record->second), now);
    }
    peer->second.withoutHistory = part->withoutHistory;
    peer->second.confirmsNewHost = part->confirmsNewHost;
    peer->second.nonce = part->nonce;
    peer->second.complete = part->complete;
    if (!part->position.empty())
        peer->second.position = part->position;
    if (!part->complete && !part->withoutHistory)
        sendFetch(message.from, peer->second, out);
}

void ClaimReplica::rewriteJournal(TimePoint now)
{
    constexpr std::size_t wasteFactor = 2;
    if (m_journalBytes < m_limits.minRewriteBytes)
        return;
    std::string text;
    if (m_ready)
        text += journalLine(readyEntry(m_placement.epoch()));
    for (const auto& [key, record] : m_claims)
        text += journalLine(encodeRecord(key, record, now));
    if (text.size() * wasteFactor > m_journalBytes)
        return;
    m_storageFailed = !m_storage.replace(journalFile, text).has_value();
    m_journalBytes = text.size();
    m_unwritten.clear();
}

} // namespace laburnum
