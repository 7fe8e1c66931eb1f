#include <laburnumroute/config_gossip.h>

#include <algorithm>

#include "config_messages_pvt.h"
#include "sample_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// Unanswered offers after which a peer is sent the content without a request.
    constexpr unsigned offersBeforeContent = 2;
    /// Older reports are not forwarded to other hosts.
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
    m_minRevision = stored.minRevision;
    m_loadErrors = std::move(stored.errors);
    if (stored.version)
        m_hasNewVersion = m_holder.updateIfNewer(*stored.version);
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
    if (!m_startupEnd)
        start(now, out);
    if (m_pendingVersion && now >= m_nextStoreAttempt)
        storeAndApply(now, out);
    if (m_bestOffer && now >= *m_startupEnd) {
        const auto best = *std::exchange(m_bestOffer, std::nullopt);
        handleNewerRevision(best.first, best.second, now, out);
    }
    if (now >= m_requestDeadline && now >= *m_startupEnd)
        requestFromNewerPeer(now, out);
    for (auto offer = m_offers.begin(); offer != m_offers.end();) {
        if (now >= offer->second.next)
            sendOffer(offer->first, offer->second, now, out);
        offer = offer->second.sent > m_settings.maxOffers ? m_offers.erase(offer) : ++offer;
    }
    if (now >= m_nextExchange) {
        m_nextExchange = now + m_settings.exchangeInterval;
        for (const auto& peer : sample(m_peers, 1, m_random))
            sendDigest(peer, !m_pendingVersion, now, out);
    }
}

void ConfigGossip::start(TimePoint now, Outbox& out)
{
    for (const auto& problem : m_loadErrors) {
        Decision decision { "config", "stored-version-damaged" };
        decision.facts["problem"] = problem;
        decision.facts["lowest"] = Json::UInt64(m_minRevision.value());
        out.log(std::move(decision));
    }
    m_startupEnd = revision() == Revision(0) ? now + m_settings.startupWait : now;
    for (const auto& peer : sample(m_peers, m_settings.fanOut, m_random))
        sendDigest(peer, true, now, out);
    // A random phase distributes the hosts' exchanges evenly over the interval.
    m_nextExchange = now
        + Duration(uniformBelow(
            m_random, static_cast<std::uint64_t>(m_settings.exchangeInterval.count())));
}

void ConfigGossip::adopt(const ConfigVersion& version, TimePoint now, Outbox& out)
{
    if (version.revision <= revision() || version.revision < m_minRevision)
        return;
    if (m_pendingVersion && m_pendingVersion->revision >= version.revision)
        return;
    m_pendingVersion = version;
    storeAndApply(now, out);
}

void ConfigGossip::storeAndApply(TimePoint now, Outbox& out)
{
    Decision decision { "config", "in-force" };
    decision.facts["revision"] = Json::UInt64(m_pendingVersion->revision.value());
    decision.facts["change"] = m_pendingVersion->change.value();
    const auto saved = m_store.save(*m_pendingVersion);
    if (!saved) {
        m_nextStoreAttempt = now + m_settings.storeRetryInterval;
        decision.reason = "not-stored";
        decision.facts["error"] = saved.error().message;
        out.log(std::move(decision));
        return;
    }
    m_holder.updateIfNewer(*m_pendingVersion);
    m_minRevision = revision();
    m_pendingVersion.reset();
    m_hasNewVersion = true;
    out.log(std::move(decision));
    startOffers(now);
}

std::optional<ConfigVersion> ConfigGossip::takeNewVersion()
{
    if (!std::exchange(m_hasNewVersion, false))
        return std::nullopt;
    return m_holder.current();
}

void ConfigGossip::startOffers(TimePoint now)
{
    m_offers.clear();
    for (const auto& peer : sample(m_peers, m_settings.fanOut, m_random))
        m_offers[peer] = { 0, now };
}

void ConfigGossip::sendOffer(const HostId& peer, PendingOffer& offer, TimePoint now, Outbox& out)
{
    ++offer.sent;
    offer.next = now + m_settings.responseTimeout;
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
    recordReport(message.from, *offered, now);
    if (*offered > revision())
        handleNewerRevision(message.from, *offered, now, out);
    else
        sendRevision(
            message.from, *offered < revision() ? methodConfigOffer : methodConfigAck, out);
}

void ConfigGossip::handleNewerRevision(
    const HostId& from, Revision revision, TimePoint now, Outbox& out)
{
    if (m_startupEnd && now < *m_startupEnd) {
        if (!m_bestOffer || revision > m_bestOffer->second)
            m_bestOffer = { from, revision };
        return;
    }
    requestContent(from, revision, now, out);
}

/// Requests the content from a random host known to have a higher revision.
void ConfigGossip::requestFromNewerPeer(TimePoint now, Outbox& out)
{
    std::vector<HostId> ahead;
    for (const auto& [host, report] : m_reports) {
        if (report.revision > revision())
            ahead.push_back(host);
    }
    for (const auto& host : sample(std::move(ahead), 1, m_random))
        requestContent(host, m_reports[host].revision, now, out);
}

void ConfigGossip::requestContent(const HostId& from, Revision offered, TimePoint now, Outbox& out)
{
    if (offered <= revision() || offered < m_minRevision)
        return;
    if (m_pendingVersion && offered <= m_pendingVersion->revision)
        return;
    if (offered <= m_requestedRevision && now < m_requestDeadline)
        return;
    m_requestedRevision = offered;
    m_requestDeadline = now + m_settings.responseTimeout;
    sendRevision(from, methodConfigWant, out);
}

void ConfigGossip::receiveWant(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto held = decodeRevision(message.params);
    if (!held)
        return;
    recordReport(message.from, *held, now);
    if (*held < revision())
        out.send(message.from, methodConfigContent, encodeVersion(current()));
}

void ConfigGossip::receiveContent(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto version = decodeVersion(message.params);
    if (!version)
        return;
    recordReport(message.from, version->revision, now);
    adopt(*version, now, out);
    sendRevision(message.from, methodConfigAck, out);
}

void ConfigGossip::receiveAck(const PeerMessage& message, TimePoint now, Outbox& /*out*/)
{
    const auto held = decodeRevision(message.params);
    if (!held)
        return;
    recordReport(message.from, *held, now);
    if (*held >= revision())
        m_offers.erase(message.from);
}

void ConfigGossip::receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto digest = decodeDigest(message.params);
    if (!digest)
        return;
    recordReport(message.from, digest->revision, now);
    for (const auto& row : digest->rows)
        recordReport(row.host, row.revision, now - row.age);
    if (digest->revision > revision())
        handleNewerRevision(message.from, digest->revision, now, out);
    if (!digest->wantsReply)
        return;
    if (digest->revision < revision() && isSmall())
        out.send(message.from, methodConfigContent, encodeVersion(current()));
    else
        sendDigest(message.from, false, now, out);
}

void ConfigGossip::recordReport(const HostId& host, Revision revision, TimePoint reportedAt)
{
    if (!std::binary_search(m_peers.begin(), m_peers.end(), host))
        return;
    auto& report = m_reports[host];
    if (reportedAt < report.reportedAt)
        return;
    report.timesSent = report.revision == revision ? report.timesSent : 0;
    report.revision = revision;
    report.reportedAt = reportedAt;
}

/// The hosts whose reports were sent least often; among these, the most recent reports first.
std::vector<HostId> ConfigGossip::leastSentReports() const
{
    std::vector<std::pair<HostId, RevisionReport>> rows(m_reports.begin(), m_reports.end());
    const std::size_t count = std::min({ m_settings.rowsPerExchange, rows.size(), maxDigestRows });
    const auto before = [](const auto& a, const auto& b) {
        return std::pair(a.second.timesSent, b.second.reportedAt)
            < std::pair(b.second.timesSent, a.second.reportedAt);
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
    for (const auto& host : leastSentReports()) {
        RevisionReport& report = m_reports[host];
        ++report.timesSent;
        const Duration age = now - report.reportedAt;
        if (age < maxReportAge)
            digest.rows.push_back({ host, report.revision, age });
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
        const auto report = m_reports.find(peer);
        if (report == m_reports.end())
            rows.push_back({ peer, Revision(0), std::nullopt });
        else
            rows.push_back({ peer, report->second.revision, now - report->second.reportedAt });
    }
    std::sort(rows.begin(), rows.end(),
        [](const HostRevision& a, const HostRevision& b) { return a.host < b.host; });
    return rows;
}

} // namespace laburnum
