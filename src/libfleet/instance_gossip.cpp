#include <laburnumroute/instance_gossip.h>

#include <algorithm>
#include <cmath>

#include "instance_messages_pvt.h"
#include "sample_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr std::uint64_t lastKey = UINT64_MAX;
    constexpr std::size_t maxUnservedKeys = 100'000;
    constexpr auto expiryInterval = std::chrono::milliseconds(200);
    /// A smaller change of the reported load causes no change event.
    constexpr double coarseLoadStep = 0.05;

    InstanceRow rowOf(const DirectoryEntry& entry, TimePoint now)
    {
        return { entry.key, entry.record.version, now - entry.confirmed, entry.record.load };
    }

} // namespace

InstanceGossip::InstanceGossip(
    HostId self, std::vector<HostId> peers, std::uint64_t seed, InstanceGossipSettings settings)
    : m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_random(seed)
    , m_settings(settings)
{
    std::erase(m_peers, m_self);
}

AnnounceResult InstanceGossip::announce(const InstanceRecord& record, TimePoint now)
{
    if (mergeRecord(record, Duration::zero(), now) != MergeResult::Stale)
        return AnnounceResult::Accepted;
    const DirectoryEntry* known = m_directory.find(record.id);
    return supersedes(known->record, record) ? AnnounceResult::Superseded
                                             : AnnounceResult::Duplicate;
}

void InstanceGossip::setServices(std::optional<std::set<ServiceId>> services)
{
    m_services = std::move(services);
    m_unserved.clear();
}

bool InstanceGossip::isServed(const ServiceId& service) const
{
    return !m_services || m_services->contains(service);
}

std::vector<std::string> InstanceGossip::methods() const
{
    return { methodInstanceDigest, methodInstanceDelta };
}

void InstanceGossip::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (message.method == methodInstanceDigest)
        receiveDigest(message, now, out);
    else if (message.method == methodInstanceDelta)
        receiveDelta(message, now, out);
}

void InstanceGossip::tick(TimePoint now, Outbox& out)
{
    if (now >= m_nextExpiry) {
        expire(now);
        requestRenewals(now, out);
    }
    pushChanged(now, out);
    if (now < m_nextExchange)
        return;
    m_nextExchange = now + m_settings.exchangeInterval;
    for (const auto& peer : sample(m_peers, 1, m_random))
        sendDigest(peer, now, out);
}

void InstanceGossip::expire(TimePoint now)
{
    m_nextExpiry = now + expiryInterval;
    for (const auto& id : m_directory.expire(now)) {
        if (const DirectoryEntry* entry = m_directory.find(id))
            m_changes.push_back({ entry->record, true });
    }
}

/// Load pattern: with a fifth of the messages lost and some paths cut, a renewal takes two to three
/// seconds to most hosts, and a few hosts miss four exchanges in a row, which exceeds a lease of 6
/// s.
void InstanceGossip::requestRenewals(TimePoint now, Outbox& out)
{
    if (!m_directory.isAnyLeaseEnding(now))
        return;
    for (const auto& peer : sample(m_peers, m_settings.renewalFanOut, m_random))
        sendDigest(peer, now, out);
}

MergeResult InstanceGossip::mergeRecord(const InstanceRecord& record, Duration age, TimePoint now)
{
    const DirectoryEntry* known = m_directory.find(record.id);
    const double oldLoad = known ? known->record.load : 0.0;
    const MergeResult result = m_directory.accept(record, age, now);
    if (result != MergeResult::Stale)
        recordChange(*m_directory.find(record.id), result, oldLoad);
    return result;
}

void InstanceGossip::recordChange(const DirectoryEntry& entry, MergeResult result, double oldLoad)
{
    const bool loadChanged = std::abs(entry.record.load - oldLoad) >= coarseLoadStep;
    if (result == MergeResult::Changed || loadChanged)
        m_changes.push_back({ entry.record, false });
    if (result == MergeResult::Changed)
        m_pendingPushes.insert(entry.record.id);
}

void InstanceGossip::pushChanged(TimePoint now, Outbox& out)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastPush).count();
    const double limit = m_settings.pushesPerSecond;
    m_lastPush = now;
    m_pushTokens = std::min(limit, m_pushTokens + elapsed * limit);
    std::vector<InstanceId> others;
    for (const auto& id : std::exchange(m_pendingPushes, {})) {
        const DirectoryEntry* entry = m_directory.find(id);
        if (!entry || entry->expired)
            continue;
        if (entry->record.phase == InstancePhase::Draining) {
            m_drainPushes[id] = { m_settings.drainPushes, now };
        } else if (m_pushTokens >= 1.0) {
            m_pushTokens -= 1.0;
            others.push_back(id);
        }
    }
    pushRecords(others, m_settings.fanOut, now, out);
    pushDrains(now, out);
}

void InstanceGossip::pushDrains(TimePoint now, Outbox& out)
{
    std::vector<InstanceId> due;
    for (auto push = m_drainPushes.begin(); push != m_drainPushes.end();) {
        if (now < push->second.next) {
            ++push;
            continue;
        }
        due.push_back(push->first);
        push->second.next = now + m_settings.drainPushInterval;
        push = --push->second.left == 0 ? m_drainPushes.erase(push) : std::next(push);
    }
    pushRecords(due, m_settings.drainFanOut, now, out);
}

void InstanceGossip::pushRecords(
    const std::vector<InstanceId>& ids, unsigned fanOut, TimePoint now, Outbox& out)
{
    if (ids.empty())
        return;
    const auto peers = sample(m_peers, fanOut, m_random);
    for (std::size_t first = 0; first < ids.size(); first += m_settings.recordsPerMessage) {
        InstanceDelta delta;
        const std::size_t end = std::min(ids.size(), first + m_settings.recordsPerMessage);
        for (std::size_t i = first; i < end; ++i)
            addRecord(*m_directory.find(ids[i]), now, delta);
        for (const auto& peer : peers)
            out.send(peer, methodInstanceDelta, encodeInstanceDelta(delta));
    }
}

void InstanceGossip::sendDigest(const HostId& to, TimePoint now, Outbox& out)
{
    InstanceDigest digest { m_keyCursor, lastKey, {}, m_services };
    const auto& keys = m_directory.keys();
    for (auto key = keys.lower_bound(m_keyCursor); key != keys.end(); ++key) {
        if (digest.rows.size() == m_settings.rowsPerMessage) {
            digest.last = key->first - 1;
            break;
        }
        const DirectoryEntry* entry = m_directory.find(key->second);
        if (!entry->expired)
            digest.rows.push_back(rowOf(*entry, now));
    }
    m_keyCursor = digest.last == lastKey ? 0 : digest.last + 1;
    out.send(to, methodInstanceDigest, encodeInstanceDigest(digest));
}

void InstanceGossip::receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    auto digest = decodeInstanceDigest(message.params);
    if (!digest)
        return;
    InstanceDelta reply;
    std::sort(digest->rows.begin(), digest->rows.end(),
        [](const InstanceRow& a, const InstanceRow& b) { return a.key < b.key; });
    addNewer(digest->first, digest->last, digest->rows, digest->services, now, reply);
    applyRows(digest->rows, now, reply);
    if (!reply.empty())
        out.send(message.from, methodInstanceDelta, encodeInstanceDelta(reply));
}

/// Adds to `reply` the rows between `first` and `last` whose version here is higher than in
/// `known`, and the records that `known` lacks. `known` must be sorted by key.
void InstanceGossip::addNewer(std::uint64_t first, std::uint64_t last,
    const std::vector<InstanceRow>& known, const std::optional<std::set<ServiceId>>& services,
    TimePoint now, InstanceDelta& reply) const
{
    auto row = known.begin();
    const auto& keys = m_directory.keys();
    for (auto key = keys.lower_bound(first); key != keys.end() && key->first <= last; ++key) {
        while (row != known.end() && row->key < key->first)
            ++row;
        const DirectoryEntry& entry = *m_directory.find(key->second);
        const bool isKnown = row != known.end() && row->key == key->first;
        if (entry.expired || (isKnown && row->version >= entry.record.version))
            continue;
        if (services && !services->contains(entry.record.service))
            continue;
        // The receiver would have to request the record of an unknown key. With messages lost, each
        // message that is saved counts.
        if (!isKnown && reply.records.size() < m_settings.recordsPerMessage) {
            addRecord(entry, now, reply);
            continue;
        }
        if (reply.rows.size() == m_settings.rowsPerMessage)
            return;
        reply.rows.push_back(rowOf(entry, now));
    }
}

/// Renews the leases of the instances in `rows`; requests the records of unknown keys in `reply`.
void InstanceGossip::applyRows(
    const std::vector<InstanceRow>& rows, TimePoint now, InstanceDelta& reply)
{
    for (const auto& row : rows) {
        const DirectoryEntry* entry = m_directory.findKey(row.key);
        if (!entry) {
            const bool hasRoom = reply.wanted.size() < m_settings.recordsPerMessage;
            if (hasRoom && !m_unserved.contains(row.key))
                reply.wanted.push_back(row.key);
            continue;
        }
        if (!isServed(entry->record.service))
            continue;
        const double oldLoad = entry->record.load;
        const auto result = m_directory.renew(row.key, row.version, row.load, row.age, now);
        if (result != MergeResult::Stale)
            recordChange(*entry, result, oldLoad);
    }
}

void InstanceGossip::receiveDelta(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto delta = decodeInstanceDelta(message.params);
    if (!delta)
        return;
    InstanceDelta reply;
    applyRows(delta->rows, now, reply);
    for (const auto& item : delta->records)
        receiveRecord(item, now, reply);
    for (const std::uint64_t key : delta->wanted) {
        const DirectoryEntry* entry = m_directory.findKey(key);
        if (entry && reply.records.size() < m_settings.recordsPerMessage)
            addRecord(*entry, now, reply);
    }
    if (!reply.empty())
        out.send(message.from, methodInstanceDelta, encodeInstanceDelta(reply));
}

void InstanceGossip::receiveRecord(const AgedRecord& item, TimePoint now, InstanceDelta& reply)
{
    const std::uint64_t key = contentKey(item.record);
    if (!isServed(item.record.service)) {
        if (m_unserved.size() >= maxUnservedKeys)
            m_unserved.clear();
        m_unserved.insert(key);
        return;
    }
    mergeRecord(item.record, item.age, now);
    const DirectoryEntry* known = m_directory.find(item.record.id);
    if (known && known->key != key && supersedes(known->record, item.record))
        addRecord(*known, now, reply);
}

void InstanceGossip::addRecord(
    const DirectoryEntry& entry, TimePoint now, InstanceDelta& reply) const
{
    reply.records.push_back({ entry.record, now - entry.confirmed });
}

} // namespace laburnum
