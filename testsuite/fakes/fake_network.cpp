#include "fakes/fake_network.h"

#include <laburnumroute/json.h>

namespace laburnum::fakes {

namespace {

    constexpr auto stepTime = std::chrono::milliseconds(1);
    constexpr auto defaultDelay = std::chrono::milliseconds(1);
    /// Overhead per message: length prefix, JSON-RPC members and sender id.
    constexpr std::size_t frameBytes = 70;

} // namespace

void FakeNetwork::attach(const HostId& host, Participant& participant)
{
    m_hosts[host].push_back(&participant);
    m_nextTick[&participant] = localNow(host);
    for (const auto& method : participant.methods())
        m_receivers[host][method] = &participant;
}

void FakeNetwork::detach(const HostId& host)
{
    for (Participant* participant : m_hosts[host])
        m_nextTick.erase(participant);
    m_hosts.erase(host);
    m_receivers.erase(host);
}

TimePoint FakeNetwork::localNow(const HostId& host) const
{
    const auto rate = m_clockRates.find(host);
    if (rate == m_clockRates.end())
        return m_now;
    const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed * rate->second)));
}

void FakeNetwork::cut(const HostId& from, const HostId& to, bool isCut)
{
    if (isCut)
        m_cuts.insert({ from, to });
    else
        m_cuts.erase({ from, to });
}

void FakeNetwork::isolate(const HostId& host, bool isCut)
{
    if (isCut)
        m_isolated.insert(host);
    else
        m_isolated.erase(host);
}

void FakeNetwork::freeze(const HostId& host, bool isFrozen)
{
    if (isFrozen)
        m_frozen.insert(host);
    else
        m_frozen.erase(host);
}

void FakeNetwork::run(Duration time, const std::function<void()>& check)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        m_now += stepTime;
        deliverDue();
        tickAll();
        if (check)
            check();
    }
}

void FakeNetwork::flush(Outbox& out)
{
    for (auto& message : out.takeMessages())
        enqueue(std::move(message));
    for (auto& decision : out.takeDecisions())
        m_decisions.push_back(std::move(decision));
}

void FakeNetwork::enqueue(PeerMessage message)
{
    if (m_tap && !m_tap(message))
        return;
    const std::size_t bytes = toJsonText(message.params).size() + message.method.size();
    ++m_messagesSent;
    ++m_sentByMethod[message.method];
    m_bytesSent += bytes;
    if (message.from != message.to) {
        ++m_sent[message.from].messages;
        m_sent[message.from].bytes += bytes + frameBytes;
    }
    const bool local = message.from == message.to;
    const bool blocked = m_cuts.contains({ message.from, message.to })
        || m_isolated.contains(message.from) || m_isolated.contains(message.to);
    if (!local && (blocked || uniformReal(m_random) < m_faults.lossRate))
        return;
    const int copies = !local && uniformReal(m_random) < m_faults.duplicationRate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration delay = m_delay ? m_delay(message.from, message.to) : Duration(defaultDelay);
        if (m_faults.jitter.count() > 0)
            delay += Duration(
                uniformBelow(m_random, static_cast<std::uint64_t>(m_faults.jitter.count())));
        m_inFlight.insert({ m_now + (local ? Duration::zero() : delay), { message, bytes } });
    }
}

void FakeNetwork::deliverDue()
{
    std::vector<InFlight> due;
    for (auto item = m_inFlight.begin(); item != m_inFlight.end() && item->first <= m_now;) {
        if (m_frozen.contains(item->second.message.to)) {
            ++item;
            continue;
        }
        due.push_back(std::move(item->second));
        item = m_inFlight.erase(item);
    }
    for (const auto& item : due)
        deliver(item);
}

void FakeNetwork::deliver(const InFlight& item)
{
    const PeerMessage& message = item.message;
    const auto host = m_receivers.find(message.to);
    if (host == m_receivers.end())
        return;
    if (message.from != message.to) {
        ++m_received[message.to].messages;
        m_received[message.to].bytes += item.bytes + frameBytes;
    }
    const auto receiver = host->second.find(message.method);
    if (receiver == host->second.end())
        return;
    Outbox out(message.to);
    receiver->second->receive(message, localNow(message.to), out);
    flush(out);
}

void FakeNetwork::tickAll()
{
    for (const auto& [host, participants] : m_hosts) {
        if (m_frozen.contains(host))
            continue;
        const TimePoint now = localNow(host);
        for (Participant* participant : participants) {
            TimePoint& next = m_nextTick[participant];
            if (next > now)
                continue;
            next = now + participant->tickInterval();
            Outbox out(host);
            participant->tick(now, out);
            flush(out);
        }
    }
}

} // namespace laburnum::fakes
