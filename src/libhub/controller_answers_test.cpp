// Each placement request is answered in time, whatever happens to its service, its account and the
// leader while it waits.

#include <array>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include <laburnumroute/random.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned entries = 4;
constexpr unsigned controls = 5;
constexpr unsigned instances = 6;
constexpr unsigned services = 3;

HostId c(unsigned i) { return ControllerFleet::control(i); }
HostId e(unsigned i) { return ControllerFleet::entry(i); }

/// The content lists one letter for each account, which may send 10 requests a second.
std::vector<ClientAccountSpec> accountsOf(const std::string& content)
{
    std::vector<ClientAccountSpec> accounts;
    for (const char name : content) {
        ClientAccountSpec spec;
        spec.name = ClientAccountId(std::string(1, name));
        spec.ratePerSecond = 10;
        spec.burst = 20;
        accounts.push_back(spec);
    }
    return accounts;
}

/// Requests that wait for few slots while configurations, instances, leaders and paths change.
class ChangingFleet {
public:
    explicit ChangingFleet(std::uint64_t seed)
        : m_fleet(
            { .controls = controls, .entries = entries, .seed = seed, .accountsOf = accountsOf })
        , m_random(seed)
    {
        m_fleet.setAnswerObserver([this](const HostId& entry, const PlacementResult& answer) {
            onAnswer(entry, answer);
        });
        REQUIRE(m_fleet.runUntil(5s, [&] { return m_fleet.leader().has_value(); }));
        REQUIRE(m_fleet.callAnywhere(PutConfigCall { { ++m_config, "ab" } }));
        for (unsigned i = 0; i < instances; ++i)
            m_serviceOf.push_back(i % services);
        announceAll();
        m_fleet.run(2s);
    }

    void run(Duration time)
    {
        const TimePoint end = m_fleet.now() + time;
        TimePoint nextChange = m_fleet.now();
        TimePoint nextAnnouncement = m_fleet.now();
        while (m_fleet.now() < end) {
            dispatch();
            if (m_fleet.now() >= nextChange) {
                change();
                nextChange += milliseconds(100 + below(500));
            }
            if (m_fleet.now() >= nextAnnouncement) {
                announceAll();
                nextAnnouncement += 1500ms;
            }
            m_fleet.run(milliseconds(5 + below(20)));
        }
        m_fleet.run(6s);
    }

    std::size_t dispatched() const { return m_dispatched; }
    std::size_t answeredTwice() const { return m_answeredTwice; }
    std::size_t unanswered() const { return m_open.size(); }
    Duration latest() const { return m_latest; }

private:
    using milliseconds = std::chrono::milliseconds;
    using Key = std::pair<HostId, DispatchId>;

    std::uint64_t below(std::uint64_t bound) { return uniformBelow(m_random, bound); }

    void dispatch()
    {
        const HostId entry = e(static_cast<unsigned>(1 + below(entries)));
        PlacementRequest request;
        // One service more than there are.
        request.service = ServiceId("s" + std::to_string(below(services + 1)));
        request.kind = below(2) == 0 ? RequestKind::Safe : RequestKind::Unsafe;
        request.priority = static_cast<std::uint32_t>(below(3));
        request.remaining = milliseconds(300 + below(4000));
        request.objective = milliseconds(100 + below(2000));
        request.retry = below(10) == 0;
        request.dataCentre = DataCentreId("d");
        request.region = RegionId("r");
        const std::uint64_t account = below(3);
        if (account < 2)
            request.account = ClientAccountId(account == 0 ? "a" : "b");
        const TimePoint deadline = m_fleet.now() + request.remaining;
        const DispatchId id = m_fleet.dispatch(entry, request);
        ++m_dispatched;
        const Key key { entry, id };
        if (m_early.erase(key) == 0)
            m_open.emplace(key, deadline);
    }

    void onAnswer(const HostId& entry, const PlacementResult& answer)
    {
        const Key key { entry, answer.dispatch };
        if (const auto found = m_open.find(key); found != m_open.end()) {
            m_latest = std::max(m_latest, m_fleet.now() - found->second);
            m_open.erase(found);
        } else if (!m_early.insert(key).second) {
            ++m_answeredTwice;
        }
        if (!answer.instance)
            return;
        const Duration held = milliseconds(50 + below(1500));
        m_fleet.schedule(held, [this, key, held] {
            m_fleet.end(key.first, key.second, { PlacementOutcome::Success, held });
        });
    }

    void announceAll()
    {
        ++m_version;
        for (unsigned i = 0; i < instances; ++i) {
            InstanceRecord record
                = instanceRecord("i" + std::to_string(i), "s" + std::to_string(m_serviceOf[i]),
                    static_cast<std::uint16_t>(100 + i), m_incarnation, m_version);
            record.slots = 2;
            callSomewhere(AnnounceCall { record, Duration::zero() });
        }
    }

    void callSomewhere(const ControlCall& call)
    {
        m_fleet.call(c(static_cast<unsigned>(1 + below(controls))), call);
    }

    /// All instances of one service leave for another one.
    void renameService()
    {
        const auto from = static_cast<unsigned>(below(services));
        const auto to = static_cast<unsigned>(below(services));
        for (unsigned i = 0; i < instances; ++i) {
            if (m_serviceOf[i] != from)
                continue;
            Deregistration ended;
            ended.id = InstanceId("i" + std::to_string(i));
            ended.incarnation = m_incarnation;
            callSomewhere(DeregisterCall { ended });
            m_serviceOf[i] = to;
        }
        ++m_incarnation;
        announceAll();
    }

    void disturb(const HostId& host)
    {
        switch (below(4)) {
        case 0:
            m_fleet.freeze(host);
            m_fleet.schedule(
                milliseconds(100 + below(2500)), [this, host] { m_fleet.freeze(host, false); });
            break;
        case 1:
            m_fleet.resetConnections(host);
            break;
        case 2:
            m_fleet.kill(host);
            m_fleet.schedule(800ms, [this, host] { m_fleet.startControl(host); });
            break;
        default:
            for (unsigned i = 1; i <= entries; ++i)
                m_fleet.cut(host, e(i));
            m_fleet.schedule(milliseconds(100 + below(2500)), [this, host] {
                for (unsigned i = 1; i <= entries; ++i)
                    m_fleet.cut(host, e(i), false);
            });
        }
    }

    void change()
    {
        static constexpr std::array contents { "", "a", "b", "ab", "cd" };
        callSomewhere(PutConfigCall { { ++m_config, contents.at(below(contents.size())) } });
        if (below(3) == 0)
            renameService();
        if (m_fleet.now() < m_nextDisturbance)
            return;
        m_nextDisturbance = m_fleet.now() + 4s;
        if (const auto leader = m_fleet.leader())
            disturb(*leader);
    }

    ControllerFleet m_fleet;
    Random m_random;
    std::uint64_t m_config = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_version = 0;
    std::vector<unsigned> m_serviceOf;
    TimePoint m_nextDisturbance;
    /// Deadlines of the dispatches without an answer.
    std::map<Key, TimePoint> m_open;
    /// Answered before dispatch() returned.
    std::set<Key> m_early;
    std::size_t m_dispatched = 0;
    std::size_t m_answeredTwice = 0;
    /// Of all answers, relative to the deadline of its dispatch.
    Duration m_latest = Duration::min();
};

} // namespace

// Guards against a request that gets neither an answer nor a refusal beside a change.
TEST_CASE("each dispatch is answered once, by its deadline, while services and leaders change")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ChangingFleet fleet(seed);
        fleet.run(15s);
        CAPTURE(seed, fleet.dispatched(), toMillis(fleet.latest()));
        CHECK(fleet.dispatched() > 500);
        CHECK(fleet.unanswered() == 0);
        CHECK(fleet.answeredTwice() == 0);
        CHECK(fleet.latest() <= ControllerClient::busyTickInterval);
    }
}
