// Requests of several accounts in the queue of the fleet scheduler.

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>

#include <laburnumroute/fleet_scheduler.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
constexpr TimePoint start(100s);
constexpr Duration latency = 400ms;

/// A scheduler with one instance of four slots, each held for 400 ms: ten requests a second.
class AccountsFixture {
public:
    AccountsFixture()
    {
        m_scheduler.restart(start - 10s);
        InstanceRecord record;
        record.id = InstanceId("i0");
        record.service = service;
        record.slots = 4;
        m_scheduler.upsert(record, start);
    }

    DispatchKey dispatch(const char* account, TimePoint now, std::uint32_t priority = 0)
    {
        PlacementRequest request;
        request.key = { LinkId(1), DispatchId(++m_lastDispatch) };
        request.service = service;
        request.remaining = 4s;
        request.objective = 2s;
        request.priority = priority;
        request.account = ClientAccountId(account);
        m_accounts[request.key] = account;
        std::vector<PlacementReply> replies;
        m_scheduler.dispatch(request, now, replies);
        note(replies, now);
        return request.key;
    }
    /// Ends what is due, then ticks.
    void advance(TimePoint now)
    {
        while (!m_running.empty() && m_running.front().first <= now) {
            const auto [at, key] = m_running.front();
            m_running.pop_front();
            std::vector<PlacementReply> replies;
            m_scheduler.end(key, { PlacementOutcome::Success, latency }, now, replies);
            note(replies, now);
        }
        std::vector<PlacementReply> replies;
        m_scheduler.onAnnouncement(InstanceId("i0"), 0s, now);
        m_scheduler.tick(now, replies);
        note(replies, now);
    }
    FleetScheduler& scheduler() { return m_scheduler; }
    /// Accounts in the order of their grants.
    const std::vector<std::string>& granted() const { return m_granted; }
    const std::vector<DispatchKey>& grantedKeys() const { return m_grantedKeys; }
    const std::map<DispatchKey, PlacementReply>& refused() const { return m_refused; }
    const std::string& accountOf(const DispatchKey& key) const { return m_accounts.at(key); }

private:
    void note(const std::vector<PlacementReply>& replies, TimePoint now)
    {
        for (const PlacementReply& reply : replies) {
            if (reply.kind == PlacementReplyKind::Refused)
                m_refused[reply.key] = reply;
            if (reply.kind != PlacementReplyKind::Granted)
                continue;
            m_running.emplace_back(now + latency, reply.key);
            m_granted.push_back(m_accounts.at(reply.key));
            m_grantedKeys.push_back(reply.key);
        }
    }

    FleetScheduler m_scheduler { { 0.2, 20.0, std::chrono::seconds(10) } };
    std::uint32_t m_lastDispatch = 0;
    std::deque<std::pair<TimePoint, DispatchKey>> m_running;
    std::map<DispatchKey, std::string> m_accounts;
    std::map<DispatchKey, PlacementReply> m_refused;
    std::vector<std::string> m_granted;
    std::vector<DispatchKey> m_grantedKeys;
};

} // namespace

// Guards against a backlog of one account delaying the others.
TEST_CASE("load pattern: a request of another account goes before the backlog of one")
{
    AccountsFixture fixture;
    for (int i = 0; i < 9; ++i)
        fixture.dispatch("big", start);
    fixture.dispatch("small", start);
    fixture.advance(start + latency);
    REQUIRE(fixture.granted().size() == 8);
    CHECK(fixture.granted()[4] == "small");
}

// Guards against a full queue of one account keeping the others out, and against refusals at the
// deadline of what was out of question before.
TEST_CASE("load pattern: a request within its share displaces the last one of a backlog at once")
{
    AccountsFixture fixture;
    std::vector<DispatchKey> backlog;
    while (fixture.refused().empty())
        backlog.push_back(fixture.dispatch("big", start));
    // It asks for more than its share itself: it is the one to be refused.
    CHECK(fixture.refused().contains(backlog.back()));
    CHECK(fixture.refused().at(backlog.back()).refusal == PlacementRefusal::OverShare);
    const std::size_t waiting = fixture.scheduler().waiting();
    const DispatchKey small = fixture.dispatch("small", start);
    CHECK(!fixture.refused().contains(small));
    const DispatchKey last = backlog[backlog.size() - 2];
    REQUIRE(fixture.refused().contains(last));
    CHECK(fixture.refused().at(last).refusal == PlacementRefusal::OverShare);
    CHECK(fixture.scheduler().waiting() == waiting);
    CHECK(fixture.scheduler().refusals(PlacementRefusal::OverShare) == 2);
    CHECK(fixture.scheduler().refusals(PlacementRefusal::Busy) == 0);
}

// Guards against a Retry-After at whose end the account would be refused again.
TEST_CASE("the delay of a refusal for its share ends when the account is within its share again")
{
    AccountsFixture fixture;
    while (fixture.refused().empty())
        fixture.dispatch("big", start);
    const PlacementReply refusal = fixture.refused().begin()->second;
    REQUIRE(refusal.refusal == PlacementRefusal::OverShare);
    // Another account keeps on asking for half of the slots.
    for (TimePoint now = start; now < start + refusal.delay; now += 50ms) {
        if ((now - start) % 200ms == 0ms)
            fixture.dispatch("other", now);
        fixture.advance(now);
    }
    const DispatchKey again = fixture.dispatch("big", start + refusal.delay);
    CHECK(!fixture.refused().contains(again));
    for (TimePoint now = start + refusal.delay; now < start + 4s; now += 50ms)
        fixture.advance(now);
    CHECK(!fixture.refused().contains(again));
}

// Guards against a surge of a high priority that takes all slots as long as it lasts.
TEST_CASE("load pattern: a lower priority gets one of eight freed slots")
{
    AccountsFixture fixture;
    for (TimePoint now = start; now < start + 20s; now += 50ms) {
        fixture.dispatch("urgent", now, 0);
        if ((now - start) % 200ms == 0ms)
            fixture.dispatch("patient", now, 1);
        fixture.advance(now);
    }
    const auto patient = std::count(fixture.granted().begin(), fixture.granted().end(), "patient");
    const auto all = static_cast<std::ptrdiff_t>(fixture.granted().size());
    CHECK(patient * 9 >= all);
    CHECK(patient * 7 <= all);
}

// Guards against fair queueing where nothing declares accounts.
TEST_CASE("requests without an account are granted by priority and arrival")
{
    AccountsFixture fixture;
    std::vector<DispatchKey> low;
    std::vector<DispatchKey> high;
    for (int i = 0; i < 4; ++i)
        fixture.dispatch("", start);
    for (int i = 0; i < 4; ++i) {
        low.push_back(fixture.dispatch("", start, 1));
        high.push_back(fixture.dispatch("", start, 0));
    }
    fixture.advance(start + latency);
    fixture.advance(start + 2 * latency);
    std::vector<DispatchKey> expected = high;
    expected.insert(expected.end(), low.begin(), low.end());
    const auto& keys = fixture.grantedKeys();
    CHECK(std::vector<DispatchKey>(keys.begin() + 4, keys.end()) == expected);
}

// Guards against a loop without end at the largest priority, which has no successor: it ended each
// leader in turn (review/7). The others are the ends of the range and their neighbours.
TEST_CASE("load pattern: requests of the lowest and the highest priority are queued and served")
{
    constexpr std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
    const std::vector<std::uint32_t> priorities { 0, 1, lowest - 1, lowest };
    for (std::size_t count = 1; count <= priorities.size(); ++count) {
        CAPTURE(count);
        AccountsFixture fixture;
        for (int i = 0; i < 4; ++i)
            fixture.dispatch("busy", start);
        std::vector<DispatchKey> queued;
        for (std::size_t i = 0; i < count; ++i) {
            const std::uint32_t priority = priorities[priorities.size() - 1 - i];
            queued.push_back(fixture.dispatch("a", start, priority));
            queued.push_back(fixture.dispatch("b", start, priority));
        }
        CHECK(fixture.scheduler().waiting() + fixture.refused().size() == queued.size());
        CHECK(fixture.scheduler().waiting() > 0);
        for (TimePoint now = start; now <= start + 4s; now += 50ms)
            fixture.advance(now);
        CHECK(fixture.scheduler().waiting() == 0);
        for (const DispatchKey& key : queued) {
            const auto& granted = fixture.grantedKeys();
            CHECK(std::count(granted.begin(), granted.end(), key)
                    + (fixture.refused().contains(key) ? 1 : 0)
                == 1);
        }
    }
}
