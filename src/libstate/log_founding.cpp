// The first membership of a new log, which a founder writes once enough of the listed hosts have
// voted for it.

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    using std::chrono::milliseconds;

    /// Listed hosts start within 300 ms of each other; after this time the missing ones are founded
    /// without.
    constexpr auto absenceTimeout = milliseconds(750);
    /// Listed hosts become founders one after another, in order of their ids.
    constexpr auto founderTurn = milliseconds(1000);
    /// Votes that arrive later than this are not waited for if there are enough.
    constexpr auto voteTimeout = milliseconds(250);

} // namespace

/// The hosts of the first start, as the folder keeps them: those in the settings may change before
/// the log is founded, and the votes of two lists do not exclude each other.
const std::vector<HostId>& ReplicatedLog::Impl::listedHosts() const
{
    return store.foundingHosts().empty() ? options.controlHosts : store.foundingHosts();
}

bool ReplicatedLog::Impl::isListed(const HostId& host) const
{
    const auto& hosts = listedHosts();
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

/// Majorities of any two sets of this many listed hosts share a host. So of two founding
/// memberships only one can commit an entry, and it leaves too few empty logs for a later founder.
/// A listed host that lost its disk may vote again with Admission::Listed, so all are needed there.
std::size_t ReplicatedLog::Impl::foundingQuorum() const
{
    const std::size_t listed = listedHosts().size();
    if (options.admission == Admission::Listed)
        return listed;
    std::size_t founders = 1;
    while (2 * (founders / 2 + 1) <= listed)
        ++founders;
    return founders;
}

bool ReplicatedLog::Impl::mayFound() const
{
    const bool isAllowed = options.mayBootstrap || !store.foundingHosts().empty();
    return isAllowed && store.lastIndex() == LogIndex(0) && isListed(options.host);
}

/// The other listed hosts whose logs are empty, in order of their ids; nothing if one has entries.
std::optional<std::vector<HostId>> ReplicatedLog::Impl::emptyListedHosts(TimePoint now) const
{
    std::vector<HostId> empty;
    for (const HostId& host : listedHosts()) {
        const auto candidate = m_joinCandidates.find(host);
        if (host == options.host || candidate == m_joinCandidates.end()
            || !candidate->second.answered || now - candidate->second.lastJoin > joinTimeout)
            continue;
        if (!candidate->second.hasEmptyLog)
            return std::nullopt;
        empty.push_back(host);
    }
    std::sort(empty.begin(), empty.end());
    return empty;
}

void ReplicatedLog::Impl::tickFounding(TimePoint now, Outbox& out)
{
    if (!mayFound())
        return;
    if (m_founding.asked && now - *m_founding.asked >= voteTimeout)
        countFoundingVotes(foundingQuorum(), now, out);
    const auto present = emptyListedHosts(now);
    if (!present || present->size() + 1 < foundingQuorum()) {
        m_founding.nextAttempt.reset();
        return;
    }
    const auto rank
        = std::lower_bound(present->begin(), present->end(), options.host) - present->begin();
    const bool isComplete = present->size() + 1 == listedHosts().size();
    if (!m_founding.nextAttempt || (isComplete && !m_founding.wasComplete)) {
        m_founding.wasComplete = isComplete;
        m_founding.nextAttempt
            = now + rank * founderTurn + (isComplete ? milliseconds(0) : absenceTimeout);
    }
    if (now < *m_founding.nextAttempt || !mayFound())
        return;
    m_founding.nextAttempt = now + (static_cast<int>(present->size()) + 1) * founderTurn;
    askForFounding(*present, now, out);
}

void ReplicatedLog::Impl::askForFounding(
    const std::vector<HostId>& hosts, TimePoint now, Outbox& out)
{
    if (!enterTerm(next(term()), self(), out))
        return;
    m_founding.asked = now;
    m_founding.term = term();
    m_founding.votes.clear();
    Json::Value facts(Json::objectValue);
    facts["listed"] = Json::UInt64(listedHosts().size());
    facts["asked"] = Json::UInt64(hosts.size());
    logDecision("founding", out, std::move(facts));
    for (const HostId& host : hosts)
        out.send(
            host, methodFounding, encode(FoundingRequest { header(m_joinCandidates.at(host).id) }));
    countFoundingVotes(listedHosts().size(), now, out);
}

/// A vote for a founder is a vote in its term: each host gives one a term, and none once its log
/// has an entry.
void ReplicatedLog::Impl::onFoundingRequest(
    const FoundingRequest& request, const HostId& from, Outbox& out)
{
    const Term requested = request.header.term;
    bool granted = mayFound() && isListed(from) && requested >= term();
    if (granted && requested == term()) {
        const MemberId& votedFor = store.vote().votedFor;
        granted = votedFor.value().empty() || votedFor == request.header.sender;
    }
    if (granted && !enterTerm(requested, request.header.sender, out))
        return;
    out.send(from, methodFoundingVote,
        encode(FoundingVote { header(request.header.sender), granted, requested }));
}

void ReplicatedLog::Impl::onFoundingVote(
    const FoundingVote& vote, const HostId& from, TimePoint now, Outbox& out)
{
    if (!mayFound())
        return;
    if (vote.header.term > term()) {
        enterTerm(vote.header.term, MemberId(), out);
        return;
    }
    if (!vote.granted || !m_founding.asked || vote.requested != m_founding.term)
        return;
    m_founding.votes[from] = vote.header.sender;
    countFoundingVotes(listedHosts().size(), now, out);
}

/// Writes the first membership, of the hosts that voted, if there are `needed` with this one.
void ReplicatedLog::Impl::countFoundingVotes(std::size_t needed, TimePoint now, Outbox& out)
{
    // The term has moved on if this host voted for another founder.
    if (m_founding.term != term() || store.vote().votedFor != self()
        || m_founding.votes.size() + 1 < needed)
        return;
    std::vector<Member> members { { options.host, self(), true } };
    for (const auto& [host, id] : m_founding.votes)
        members.push_back({ host, id, true });
    const LogEntry first { term(), EntryKind::Membership,
        encodeMembership(Membership(std::move(members))) };
    if (!checkSaved(store.append(LogIndex(1), { first }), out))
        return;
    memberships.update(store, LogIndex(1));
    m_joinCandidates.clear();
    m_founding = {};
    logDecision("founded", out);
    startPreVote(now, out);
}

} // namespace laburnum
