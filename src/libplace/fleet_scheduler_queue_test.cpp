// The queue of the fleet scheduler: how long a request waits for what.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include <laburnumroute/fleet_scheduler.h>

#include "placement_cost_pvt.h"

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
constexpr TimePoint start(100s);

/// A scheduler with instances "i0", "i1", ... of one slot each. Each has had three attempts: at the
/// first `reliable` they succeeded, at the others the first `failures` failed.
class QueueFixture {
public:
    QueueFixture(unsigned reliable, unsigned others, int failures)
    {
        m_scheduler.restart(start - 10s);
        for (unsigned i = 0; i < reliable + others; ++i) {
            InstanceRecord record;
            record.id = InstanceId("i" + std::to_string(i));
            record.service = service;
            record.slots = 1;
            m_scheduler.upsert(record, start);
        }
        for (int round = 0; round < 3; ++round) {
            for (unsigned i = 0; i < reliable + others; ++i) {
                const bool fails = i >= reliable && round < failures;
                end(i, fails ? PlacementOutcome::Failure : PlacementOutcome::Success);
            }
        }
    }

    DispatchKey dispatch(
        TimePoint now, std::vector<PlacementReply>& replies, RequestKind kind = RequestKind::Unsafe)
    {
        PlacementRequest request;
        request.key = { LinkId(1), DispatchId(++m_lastDispatch) };
        request.service = service;
        request.kind = kind;
        request.remaining = 4s;
        request.objective = 2s;
        m_scheduler.dispatch(request, now, replies);
        return request.key;
    }
    FleetScheduler& scheduler() { return m_scheduler; }

private:
    /// An attempt at instance `i` that ended a second before the start.
    void end(unsigned i, PlacementOutcome outcome)
    {
        const DispatchKey key { LinkId(2), DispatchId(++m_lastDispatch) };
        m_scheduler.adopt(
            { key, InstanceId("i" + std::to_string(i)), service, 0s, 4s }, start - 1s);
        std::vector<PlacementReply> replies;
        m_scheduler.end(key, { outcome, 400ms }, start - 1s, replies);
    }

    FleetScheduler m_scheduler { { 0.2, 20.0, std::chrono::seconds(10) } };
    std::uint32_t m_lastDispatch = 0;
};

/// Index of the instance in each grant.
std::vector<unsigned> grantedInstances(const std::vector<PlacementReply>& replies)
{
    std::vector<unsigned> result;
    for (const PlacementReply& reply : replies) {
        if (reply.kind == PlacementReplyKind::Granted)
            result.push_back(static_cast<unsigned>(std::stoul(reply.instance.value().substr(1))));
    }
    return result;
}

} // namespace

TEST_CASE("load pattern: a queue for the best instances does not grow while others are free")
{
    // Thirty instances of which ten are best, and 20 of which one failure was seen.
    QueueFixture fixture(10, 20, 1);
    std::vector<PlacementReply> replies;
    for (int i = 0; i < 30; ++i)
        fixture.dispatch(start, replies);
    // Ten take the best ones, at most the share that these free within an eighth of the objective
    // waits for them, and the rest does not wait at all.
    const auto instances = grantedInstances(replies);
    CHECK(
        std::count_if(instances.begin(), instances.end(), [](unsigned i) { return i < 10; }) == 10);
    CHECK(fixture.scheduler().waiting() <= 7);
    // Those that wait settle for what is free.
    replies.clear();
    fixture.scheduler().tick(start + 260ms, replies);
    CHECK(fixture.scheduler().waiting() == 0);
    CHECK(grantedInstances(replies).size() == replies.size());
}

TEST_CASE("load pattern: an instance that fails at once does not attract the queue")
{
    // One instance fails everything; the others are full.
    QueueFixture fixture(10, 1, 3);
    std::vector<PlacementReply> replies;
    for (int i = 0; i < 16; ++i)
        fixture.dispatch(start, replies);
    for (const unsigned instance : grantedInstances(replies))
        CHECK(instance < 10);
    CHECK(fixture.scheduler().waiting() == 6);
    replies.clear();
    fixture.scheduler().tick(start + 300ms, replies);
    CHECK(replies.empty());
    // At the end of the wait, a quarter of the remaining time, any slot is better than none.
    fixture.scheduler().tick(start + 1s, replies);
    CHECK(fixture.scheduler().waiting() == 0);
    CHECK(grantedInstances(replies) == std::vector<unsigned> { 10 });
}

TEST_CASE("load pattern: a freed slot goes to the first of the queue whose class it suits")
{
    QueueFixture fixture(2, 0, 0);
    std::vector<PlacementReply> replies;
    const DispatchKey first = fixture.dispatch(start, replies);
    fixture.dispatch(start, replies);
    const DispatchKey third = fixture.dispatch(start, replies);
    fixture.dispatch(start, replies);
    REQUIRE(fixture.scheduler().waiting() == 2);
    replies.clear();
    fixture.scheduler().end(first, { PlacementOutcome::Success, 400ms }, start + 400ms, replies);
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().kind == PlacementReplyKind::Granted);
    CHECK(replies.front().key == third);
}

TEST_CASE("load pattern: lookups that find the others full are not lost at an instance that fails")
{
    // Ten instances hold their requests for a second; the eleventh fails each at once.
    QueueFixture fixture(10, 1, 3);
    unsigned lost = 0;
    for (TimePoint now = start; now < start + 800ms; now += 10ms) {
        std::vector<PlacementReply> replies;
        fixture.dispatch(now, replies, RequestKind::Safe);
        if ((now - start) % 50ms == 0ms)
            fixture.scheduler().tick(now, replies);
        for (const PlacementReply& reply : replies) {
            if (reply.kind != PlacementReplyKind::Granted || reply.instance != InstanceId("i10"))
                continue;
            ++lost;
            std::vector<PlacementReply> ignored;
            fixture.scheduler().end(reply.key, { PlacementOutcome::Failure, 5ms }, now, ignored);
        }
    }
    // It gets at most one each 200 ms.
    CHECK(lost <= 4);
}

TEST_CASE("load pattern: waits for better instances end while the queue for them stands")
{
    // Ten instances are better than 40 of which a failure was seen; 30 requests a second more than
    // the ten can serve.
    QueueFixture fixture(10, 40, 1);
    std::vector<std::pair<TimePoint, DispatchKey>> running;
    std::map<DispatchKey, TimePoint> arrivals;
    Duration longestWait {};
    const auto note = [&](const std::vector<PlacementReply>& replies, TimePoint now) {
        for (const PlacementReply& reply : replies) {
            if (reply.kind != PlacementReplyKind::Granted)
                continue;
            running.emplace_back(now + 400ms, reply.key);
            if (now > start + 3s)
                longestWait = std::max(longestWait, now - arrivals.at(reply.key));
        }
    };
    for (TimePoint now = start; now < start + 6s; now += 10ms) {
        std::vector<PlacementReply> replies;
        if ((now - start) % 20ms == 0ms)
            arrivals[fixture.dispatch(now, replies)] = now;
        note(replies, now);
        for (std::size_t i = 0; i < running.size();) {
            if (running[i].first > now) {
                ++i;
                continue;
            }
            const DispatchKey key = running[i].second;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            replies.clear();
            fixture.scheduler().end(key, { PlacementOutcome::Success, 400ms }, now, replies);
            note(replies, now);
        }
        if ((now - start) % 50ms == 0ms) {
            replies.clear();
            fixture.scheduler().tick(now, replies);
            note(replies, now);
        }
    }
    CHECK(longestWait <= 250ms);
}

TEST_CASE("load pattern: requests on their way over slow links take no slots")
{
    FleetScheduler scheduler({ 0.2, 20.0, std::chrono::seconds(10) });
    scheduler.restart(start - 10s);
    InstanceRecord record;
    record.id = InstanceId("i0");
    record.service = service;
    record.slots = 6;
    scheduler.upsert(record, start);
    std::uint32_t dispatch = 0;
    std::vector<PlacementReply> replies;
    const auto grantedOfTen = [&](TimePoint now) {
        replies.clear();
        scheduler.onAnnouncement(record.id, 0s, now);
        scheduler.tick(now, replies);
        const std::uint32_t first = dispatch + 1;
        for (int i = 0; i < 10; ++i) {
            PlacementRequest request;
            request.key = { LinkId(1), DispatchId(++dispatch) };
            request.service = service;
            request.remaining = 4s;
            scheduler.dispatch(request, now, replies);
        }
        const std::size_t granted = scheduler.granted();
        for (std::uint32_t i = first; i <= dispatch; ++i)
            scheduler.cancel({ LinkId(1), DispatchId(i) }, now, replies);
        return granted;
    };
    const auto endMany = [&](Duration latency) {
        for (std::uint32_t i = 0; i < 500; ++i) {
            const DispatchKey key { LinkId(2), DispatchId(++dispatch) };
            scheduler.adopt({ key, record.id, service, 400ms, 4s }, start);
            scheduler.end(key, { PlacementOutcome::Success, latency }, start, replies);
        }
    };
    // Each slot is held for 400 ms; the instance works all the time, then for 300 ms of it.
    endMany(400ms);
    CHECK(grantedOfTen(start) == 6);
    endMany(300ms);
    CHECK(grantedOfTen(start + 50ms) == 7);
}

TEST_CASE("load pattern: instances with a bad record are used when the others are full")
{
    // Every third instance fails for one second of three; its last failure is some seconds ago.
    HealthEstimator noisy;
    for (TimePoint now = start - 60s; now < start; now += 250ms) {
        if ((now - start + 60s) % Duration(3s) < 1s)
            noisy.onFailure(now);
        else
            noisy.onSuccess(400ms, 400ms, now);
    }
    CHECK(noisy.failureProbability(start + 8s) < pvt::graveProbability);
    // During a spell it is likely to fail.
    noisy.onFailure(start + 8s);
    CHECK(noisy.failureProbability(start + 8s) > pvt::graveProbability);
}

TEST_CASE("a request of any stated size gets a slot")
{
    FleetScheduler scheduler({ 0.2, 20.0, std::chrono::seconds(10) });
    InstanceRecord record;
    record.id = InstanceId("i0");
    record.service = service;
    record.slots = 2;
    scheduler.upsert(record, start);
    PlacementRequest request;
    request.key = { LinkId(1), DispatchId(1) };
    request.service = service;
    request.remaining = 4s;
    request.bodyKiB = UINT32_MAX;
    std::vector<PlacementReply> replies;
    scheduler.dispatch(request, start, replies);
    CHECK(grantedInstances(replies) == std::vector<unsigned> { 0 });
}
