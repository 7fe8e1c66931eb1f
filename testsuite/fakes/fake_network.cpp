#include "fakes/fake_network.h"

#include <algorithm>

#include <laburnumroute/json.h>

namespace laburnum::fakes {

namespace {

    constexpr auto stepTime = std::chrono::milliseconds(1);
    constexpr auto defaultDelay = std::chrono::milliseconds(1);

} // namespace

void FakeNetwork::attach(const HostId& host, Participant& participant)
{
    m_hosts[host].push_back(&participant);
    m_nextTick[&participant] = m_now;
}

void FakeNetwork::detach(const HostId& host)
{
    for (Participant* participant : m_hosts[host])
        m_nextTick.erase(participant);
    m_hosts.erase(host);
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
    ++m_messagesSent;
    m_bytesSent += toJsonText(message.params).size() + message.method.size();
    const bool local = message.from == message.to;
    const bool blocked = m_cuts.contains({ message.from, message.to })
        || m_isolated.contains(message.from) || m_isolated.contains(message.to);
    if (!local && (blocked || uniformReal(m_random) < m_faults.lose))
        return;
    const int copies = !local && uniformReal(m_random) < m_faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration delay = m_delay ? m_delay(message.from, message.to) : Duration(defaultDelay);
        if (m_faults.jitter.count() > 0)
            delay += Duration(
                uniformBelow(m_random, static_cast<std::uint64_t>(m_faults.jitter.count())));
        m_inFlight.push_back({ m_now + (local ? Duration::zero() : delay), message });
    }
}

void FakeNetwork::deliverDue()
{
    std::vector<InFlight> due;
    const auto isDue = [&](const InFlight& item) {
        return item.due <= m_now && !m_frozen.contains(item.message.to);
    };
    std::copy_if(m_inFlight.begin(), m_inFlight.end(), std::back_inserter(due), isDue);
    std::erase_if(m_inFlight, isDue);
    std::stable_sort(
        due.begin(), due.end(), [](const InFlight& a, const InFlight& b) { return a.due < b.due; });
    for (const auto& item : due)
        deliver(item.message);
}

void FakeNetwork::deliver(const PeerMessage& message)
{
    const auto host = m_hosts.find(message.to);
    if (host == m_hosts.end())
        return;
    for (Participant* participant : host->second) {
        const auto methods = participant->methods();
        if (std::find(methods.begin(), methods.end(), message.method) == methods.end())
            continue;
        Outbox out(message.to);
        participant->receive(message, m_now, out);
        flush(out);
        return;
    }
}

void FakeNetwork::tickAll()
{
    for (const auto& [host, participants] : m_hosts) {
        if (m_frozen.contains(host))
            continue;
        for (Participant* participant : participants) {
            if (m_nextTick[participant] > m_now)
                continue;
            m_nextTick[participant] = m_now + participant->tickInterval();
            Outbox out(host);
            participant->tick(m_now, out);
            flush(out);
        }
    }
}

} // namespace laburnum::fakes
