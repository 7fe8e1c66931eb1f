#include <laburnumroute/config_gossip.h>

#include <algorithm>

#include "config_messages_pvt.h"
#include "sample_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// Offers that a peer leaves unanswered before it is sent the content unasked.
    constexpr unsigned offersBeforeContent = 2;
    /// Reports older than this are not passed on.
    constexpr auto maxReportAge = std::chrono::minutes(10);

} // namespace

ConfigGossip::ConfigGossip(HostId self, std::vector<HostId> peers, Storage* storage,
    std::uint64_t seed, ConfigGossipSettings settings)
    : m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_store(storage)
    , m_random(seed)
    , m_settings(settings)
{
    std::erase(m_peers, m_self);
    std::sort(m_peers.begin(), m_peers.end());
    StoredConfig stored = m_store.load();
    m_lowest = stored.lowest;
    m_problems = std::move(stored.problems);
    if (stored.version)
        m_hasNews = m_holder.offer(*stored.version);
}

const std::map<std::string, ConfigGossip::Handler>& ConfigGossip::handlers()
{
    static const std::map<std::string, Handler> table {
        { methodConfigOffer, &ConfigGossip::receiveOffer },
        { methodConfigWant, &ConfigGossip::receiveWant },
        { methodConfigContent, &ConfigGossip::receiveContent },
        { methodConfigAck, &ConfigGossip::receiveAck },
        { methodConfigDigest, &ConfigGossip::receiveDigest },
    };
    return table;
}

std::vector<std::string> ConfigGossip::methods() const
{
    std::vector<std::string> names;
    for (const auto& [name, handler] : handlers())
        names.push_back(name);
    return names;
}

void ConfigGossip::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto handler = handlers().find(message.method);
    if (handler != handlers().end())
        (this->*handler->second)(message, now, out);
}

void ConfigGossip::tick(TimePoint now, Outbox& out)
{
    if (!m_startEnds)
        start(now, out);
    if (m_unstored && now >= m_nextStore)
        storeAndApply(now, out);
    if (m_bestOffer && now >= *m_startEnds) {
        const auto best = *std::exchange(m_bestOffer, std::nullopt);
        consider(best.first, best.second, now, out);
    }
    if (now >= m_wantEnds && now >= *m_startEnds)
        wantFromAhead(now, out);
    for (auto offer = m_offers.begin(); offer != m_offers.end();) {
        if (now >= offer->second.next)
            push(offer->first, offer->second, now, out);
        offer = offer->second.sent > m_settings.maxOffers ? m_offers.erase(offer) : ++offer;
    }
    if (now >= m_nextExchange) {
        m_nextExchange = now + m_settings.exchangeInterval;
        for (const auto& peer : sample(m_peers, 1, m_random))
            sendDigest(peer, !m_unstored, now, out);
    }
}

void ConfigGossip::start(TimePoint now, Outbox& out)
{
    for (const auto& problem : m_problems) {
        Decision decision { "config", "stored-version-damaged" };
        decision.facts["problem"] = problem;
        decision.facts["lowest"] = Json::UInt64(m_lowest.value());
        out.log(std::move(decision));
    }
    m_startEnds = revision() == Revision(0) ? now + m_settings.startWait : now;
    for (const auto& peer : sample(m_peers, m_settings.fanOut, m_random))
        sendDigest(peer, true, now, out);
    // Spreads the hosts' exchanges evenly over the interval.
    m_nextExchange = now
        + Duration(uniformBelow(
            m_random, static_cast<std::uint64_t>(m_settings.exchangeInterval.count())));
}

void ConfigGossip::adopt(const ConfigVersion& version, TimePoint now, Outbox& out)
{
    if (version.revision <= revision() || version.revision < m_lowest)
        return;
    if (m_unstored && m_unstored->revision >= version.revision)
        return;
    m_unstored = version;
    storeAndApply(now, out);
}

void ConfigGossip::storeAndApply(TimePoint now, Outbox& out)
{
    Decision decision { "config", "in-force" };
    decision.facts["revision"] = Json::UInt64(m_unstored->revision.value());
    decision.facts["change"] = m_unstored->change.value();
    const auto saved = m_store.save(*m_unstored);
    if (!saved) {
        m_nextStore = now + m_settings.storeRetry;
        decision.reason = "not-stored";
        decision.facts["error"] = saved.error().message;
        out.log(std::move(decision));
        return;
    }
    m_holder.offer(*m_unstored);
    m_lowest = revision();
    m_unstored.reset();
    m_hasNews = true;
    out.log(std::move(decision));
    startPush(now);
}

std::optional<ConfigVersion> ConfigGossip::takeNewVersion()
{
    if (!std::exchange(m_hasNews, false))
        return std::nullopt;
    return m_holder.current();
}

void ConfigGossip::startPush(TimePoint now)
{
    m_offers.clear();
    for (const auto& peer : sample(m_peers, m_settings.fanOut, m_random))
        m_offers[peer] = { 0, now };
}

void ConfigGossip::push(const HostId& peer, PendingOffer& offer, TimePoint now, Outbox& out)
{
    ++offer.sent;
    offer.next = now + m_settings.answerTimeout;
    if (offer.sent > m_settings.maxOffers)
        return;
    if (offer.sent == offersBeforeContent + 1 && isSmall())
        out.send(peer, methodConfigContent, encodeVersion(current()));
    else
        sendRevision(peer, methodConfigOffer, out);
}

bool ConfigGossip::isSmall() const noexcept
{
    return current().content.size() <= m_settings.smallContentBytes;
}

void ConfigGossip::receiveOffer(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto offered = decodeRevision(message.params);
    if (!offered)
        return;
    note(message.from, *offered, now);
    if (*offered > revision())
        consider(message.from, *offered, now, out);
    else
        sendRevision(
            message.from, *offered < revision() ? methodConfigOffer : methodConfigAck, out);
}

void ConfigGossip::consider(const HostId& from, Revision revision, TimePoint now, Outbox& out)
{
    if (m_startEnds && now < *m_startEnds) {
        if (!m_bestOffer || revision > m_bestOffer->second)
            m_bestOffer = { from, revision };
        return;
    }
    want(from, revision, now, out);
}

/// Asks one of the hosts that are known to hold more than this one.
void ConfigGossip::wantFromAhead(TimePoint now, Outbox& out)
{
    std::vector<HostId> ahead;
    for (const auto& [host, sighting] : m_sightings) {
        if (sighting.revision > revision())
            ahead.push_back(host);
    }
    for (const auto& host : sample(std::move(ahead), 1, m_random))
        want(host, m_sightings[host].revision, now, out);
}

void ConfigGossip::want(const HostId& from, Revision offered, TimePoint now, Outbox& out)
{
    if (offered <= revision() || offered < m_lowest)
        return;
    if (m_unstored && offered <= m_unstored->revision)
        return;
    if (offered <= m_wanted && now < m_wantEnds)
        return;
    m_wanted = offered;
    m_wantEnds = now + m_settings.answerTimeout;
    sendRevision(from, methodConfigWant, out);
}

void ConfigGossip::receiveWant(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto held = decodeRevision(message.params);
    if (!held)
        return;
    note(message.from, *held, now);
    if (*held < revision())
        out.send(message.from, methodConfigContent, encodeVersion(current()));
}

void ConfigGossip::receiveContent(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto version = decodeVersion(message.params);
    if (!version)
        return;
    note(message.from, version->revision, now);
    adopt(*version, now, out);
    sendRevision(message.from, methodConfigAck, out);
}

void ConfigGossip::receiveAck(const PeerMessage& message, TimePoint now, Outbox& /*out*/)
{
    const auto held = decodeRevision(message.params);
    if (!held)
        return;
    note(message.from, *held, now);
    if (*held >= revision())
        m_offers.erase(message.from);
}

void ConfigGossip::receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto digest = decodeDigest(message.params);
    if (!digest)
        return;
    note(message.from, digest->revision, now);
    for (const auto& row : digest->rows)
        note(row.host, row.revision, now - row.age);
    if (digest->revision > revision())
        consider(message.from, digest->revision, now, out);
    if (!digest->wantsReply)
        return;
    if (digest->revision < revision() && isSmall())
        out.send(message.from, methodConfigContent, encodeVersion(current()));
    else
        sendDigest(message.from, false, now, out);
}

void ConfigGossip::note(const HostId& host, Revision revision, TimePoint at)
{
    if (!std::binary_search(m_peers.begin(), m_peers.end(), host))
        return;
    auto& sighting = m_sightings[host];
    if (at < sighting.at)
        return;
    sighting.told = sighting.revision == revision ? sighting.told : 0;
    sighting.revision = revision;
    sighting.at = at;
}

/// The hosts whose revisions were told least often, the latest reports first.
std::vector<HostId> ConfigGossip::leastTold() const
{
    std::vector<std::pair<HostId, Sighting>> rows(m_sightings.begin(), m_sightings.end());
    const std::size_t count = std::min({ m_settings.rowsPerExchange, rows.size(), maxDigestRows });
    const auto before = [](const auto& a, const auto& b) {
        return std::pair(a.second.told, b.second.at) < std::pair(b.second.told, a.second.at);
    };
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(rows.begin(), end, rows.end(), before);
    std::vector<HostId> hosts;
    for (auto row = rows.begin(); row != end; ++row)
        hosts.push_back(row->first);
    return hosts;
}

void ConfigGossip::sendDigest(const HostId& to, bool wantsReply, TimePoint now, Outbox& out)
{
    ConfigDigest digest { revision(), {}, wantsReply };
    for (const auto& host : leastTold()) {
        Sighting& sighting = m_sightings[host];
        ++sighting.told;
        const Duration age = now - sighting.at;
        if (age < maxReportAge)
            digest.rows.push_back({ host, sighting.revision, age });
    }
    out.send(to, methodConfigDigest, encodeDigest(digest));
}

void ConfigGossip::sendRevision(const HostId& to, const char* method, Outbox& out) const
{
    out.send(to, method, encodeRevision(revision()));
}

std::vector<HostRevision> ConfigGossip::revisions(TimePoint now) const
{
    std::vector<HostRevision> rows { { m_self, revision(), Duration::zero() } };
    for (const auto& peer : m_peers) {
        const auto sighting = m_sightings.find(peer);
        if (sighting == m_sightings.end())
            rows.push_back({ peer, Revision(0), std::nullopt });
        else
            rows.push_back({ peer, sighting->second.revision, now - sighting->second.at });
    }
    std::sort(rows.begin(), rows.end(),
        [](const HostRevision& a, const HostRevision& b) { return a.host < b.host; });
    return rows;
}

} // namespace laburnum
