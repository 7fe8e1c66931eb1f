#include <catch2/catch.hpp>

#include <map>
#include <random>

#include <laburnumroute/hedge_delay.h>
#include <laburnumroute/request_attempts.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

using Kind = AttemptEndKind;

constexpr Duration objective = 2s;

AttemptLimits limits() { return { 10s, objective, 2, true }; }

AttemptConditions at(Duration now)
{
    AttemptConditions conditions;
    conditions.now = now;
    return conditions;
}

AttemptEndEvent end(unsigned attempt, Kind kind, unsigned status = 0)
{
    return { attempt, kind, status, kind != Kind::NotReached && kind != Kind::Shed };
}

/// A request with one active attempt, which started at its reading.
RequestAttempts withOne(const AttemptLimits& l = limits())
{
    RequestAttempts request(l);
    REQUIRE(request.begin().placement);
    const AttemptSteps steps = request.placementGranted(at(0s));
    REQUIRE(steps.starts);
    REQUIRE(steps.starts->attempt == 1);
    return request;
}

/// A request with a first attempt and a hedge.
RequestAttempts withTwo(const AttemptLimits& l = limits())
{
    RequestAttempts request = withOne(l);
    REQUIRE(request.poll(at(hedgeDelay(objective))).placement);
    const AttemptSteps steps = request.placementGranted(at(hedgeDelay(objective)));
    REQUIRE(steps.starts);
    REQUIRE(steps.starts->isHedge);
    REQUIRE(request.active() == 2);
    return request;
}

} // namespace

TEST_CASE("attempts: the first placement is no retry, and its refusal ends the request")
{
    RequestAttempts request(limits());
    const AttemptSteps begun = request.begin();
    REQUIRE(begun.placement);
    CHECK_FALSE(begun.placement->retry);
    CHECK_FALSE(begun.placement->isHedge);
    CHECK(request.placementRefused(1s, at(5ms)).ending == RequestEnding::Refused);
}

TEST_CASE("attempts: a hedge is requested at the hedge delay, once the request has been sent")
{
    RequestAttempts request = withOne();
    const Duration delay = hedgeDelay(objective);
    const AttemptSteps early = request.poll(at(delay - 1ns));
    CHECK_FALSE(early.placement);
    CHECK(early.wakeAt == delay);
    AttemptConditions unsent = at(delay);
    unsent.sent = false;
    const AttemptSteps waiting = request.poll(unsent);
    CHECK_FALSE(waiting.placement);
    CHECK(waiting.wakeAt == delay + 100ms);
    const AttemptSteps due = request.poll(at(delay + 100ms));
    REQUIRE(due.placement);
    CHECK(due.placement->isHedge);
    CHECK(due.placement->retry);
    CHECK(due.placement->reportsOverdue);
    CHECK(due.terminations.empty());
}

TEST_CASE("attempts: no event of a hedge ends the first attempt")
{
    const Duration delay = hedgeDelay(objective);
    SECTION("its refusals")
    {
        RequestAttempts request = withOne();
        REQUIRE(request.poll(at(delay)).placement);
        CHECK(request.placementRefused(0s, at(delay)).terminations.empty());
        CHECK_FALSE(request.poll(at(delay + 499ms)).placement);
        const AttemptSteps again = request.poll(at(delay + 500ms));
        REQUIRE(again.placement);
        CHECK_FALSE(again.placement->reportsOverdue);
        const AttemptSteps last = request.placementRefused(0s, at(delay + 500ms));
        CHECK(last.terminations.empty());
        CHECK(last.wakeAt == maxDuration);
        CHECK_FALSE(request.poll(at(9s)).placement);
    }
    SECTION("its start")
    {
        RequestAttempts request = withOne();
        REQUIRE(request.poll(at(delay)).placement);
        CHECK(request.placementGranted(at(delay)).terminations.empty());
    }
    SECTION("a grant that the stop has overtaken")
    {
        RequestAttempts request = withOne();
        REQUIRE(request.poll(at(delay)).placement);
        AttemptConditions late = at(delay);
        late.fitsBeforeStop = false;
        const AttemptSteps steps = request.placementGranted(late);
        CHECK(steps.releasesPlacement);
        CHECK(steps.terminations.empty());
        CHECK(steps.ending == RequestEnding::None);
    }
    SECTION("its ends without a response")
    {
        for (const Kind kind : { Kind::NotReached, Kind::Shed, Kind::Failed, Kind::TimedOut }) {
            RequestAttempts request = withTwo();
            const AttemptSteps steps = request.ended(end(2, kind), at(delay + 10ms));
            CHECK(steps.terminations.empty());
            CHECK_FALSE(steps.answer);
            CHECK(request.active() == 1);
        }
    }
    SECTION("its server error, buffered or to be relayed")
    {
        RequestAttempts buffered = withTwo();
        CHECK(buffered.ended(end(2, Kind::Buffered, 500), at(delay + 10ms)).terminations.empty());
        RequestAttempts relayed = withTwo();
        const AttemptSteps steps = relayed.headArrived(2, 503, at(delay + 10ms));
        CHECK(steps.terminations.empty());
        CHECK_FALSE(steps.relays);
    }
}

TEST_CASE("attempts: a complete response ends the other attempt, and the request after both ends")
{
    RequestAttempts request = withTwo();
    const AttemptSteps steps = request.ended(end(1, Kind::Buffered, 200), at(2s));
    REQUIRE(steps.answer == 1U);
    REQUIRE(steps.terminations.size() == 1);
    CHECK(steps.terminations.front().attempt == 2);
    CHECK(steps.terminations.front().cause == TerminationCause::OtherResponse);
    CHECK(steps.terminations.front().otherStatus == 200);
    CHECK(steps.ending == RequestEnding::None);
    CHECK(request.ended(end(2, Kind::Terminated), at(2s)).ending == RequestEnding::Attempt);
}

TEST_CASE("attempts: a response without stamp ends the request only if it is the last one")
{
    AttemptEndEvent unstamped = end(2, Kind::Buffered, 404);
    unstamped.hasStamp = false;
    RequestAttempts request = withTwo();
    const AttemptSteps steps = request.ended(unstamped, at(2s));
    CHECK_FALSE(steps.answer);
    CHECK(steps.terminations.empty());
    RequestAttempts last = withOne();
    unstamped.attempt = 1;
    CHECK(last.ended(unstamped, at(2s)).ending == RequestEnding::Attempt);
}

TEST_CASE("attempts: a long response is relayed once the other attempt has ended")
{
    RequestAttempts request = withTwo();
    const AttemptSteps head = request.headArrived(2, 200, at(2s));
    REQUIRE(head.terminations.size() == 1);
    CHECK(head.terminations.front().attempt == 1);
    CHECK(head.terminations.front().otherStatus == 200);
    CHECK_FALSE(head.relays);
    const AttemptSteps ended = request.ended(end(1, Kind::Terminated), at(2s));
    CHECK(ended.relays == 2U);
    const AttemptSteps whole = request.ended(end(2, Kind::Relayed, 200), at(3s));
    CHECK(whole.answer == 2U);
    CHECK(whole.ending == RequestEnding::Attempt);
}

TEST_CASE("attempts: of two server errors to be relayed one is chosen")
{
    RequestAttempts request = withTwo();
    CHECK(request.headArrived(1, 500, at(2s)).terminations.empty());
    const AttemptSteps steps = request.headArrived(2, 502, at(2s));
    REQUIRE(steps.terminations.size() == 1);
    CHECK(steps.terminations.front().attempt == 2);
    CHECK(steps.terminations.front().otherStatus == 500);
}

TEST_CASE("attempts: the caller's disconnect ends all attempts, and the pending placement")
{
    RequestAttempts waiting(limits());
    (void)waiting.begin();
    const AttemptSteps gone = waiting.callerLeft(at(1s));
    CHECK(gone.cancelsPlacement);
    CHECK(gone.ending == RequestEnding::CallerGone);
    RequestAttempts request = withTwo();
    const AttemptSteps steps = request.callerLeft(at(2s));
    REQUIRE(steps.terminations.size() == 2);
    for (const TerminationStep& step : steps.terminations)
        CHECK(step.cause == TerminationCause::CallerDisconnected);
    CHECK(request.callerLeft(at(2s)).terminations.empty());
    (void)request.ended(end(1, Kind::CallerDisconnected), at(2s));
    CHECK(request.ended(end(2, Kind::CallerDisconnected), at(2s)).ending == RequestEnding::Attempt);
}

TEST_CASE("attempts: after a failure only a request that may run again is placed again")
{
    for (const bool retryable : { true, false }) {
        for (const Kind kind : { Kind::NotReached, Kind::Shed, Kind::Failed, Kind::TimedOut }) {
            AttemptLimits l = limits();
            l.retryable = retryable;
            RequestAttempts request = withOne(l);
            const AttemptSteps steps = request.ended(end(1, kind), at(1s));
            const bool notRun = kind == Kind::NotReached || kind == Kind::Shed;
            CHECK(steps.placement.has_value() == (retryable || notRun));
            CHECK((steps.ending == RequestEnding::Attempt) == !(retryable || notRun));
            if (steps.placement)
                CHECK(steps.placement->retry == (kind != Kind::NotReached));
        }
    }
}

TEST_CASE("attempts: a placement that the stop has overtaken is returned")
{
    RequestAttempts request(limits());
    (void)request.begin();
    AttemptConditions late = at(1s);
    late.fitsBeforeStop = false;
    const AttemptSteps steps = request.placementGranted(late);
    CHECK(steps.releasesPlacement);
    CHECK_FALSE(steps.starts);
    CHECK(steps.ending == RequestEnding::Stopping);
}

TEST_CASE("attempts: a hedge still pending at the last attempt's end serves as the retry")
{
    const Duration delay = hedgeDelay(objective);
    RequestAttempts request = withOne();
    REQUIRE(request.poll(at(delay)).placement);
    const AttemptSteps ended = request.ended(end(1, Kind::Failed), at(delay + 1ms));
    CHECK_FALSE(ended.placement);
    CHECK(ended.ending == RequestEnding::None);
    // A refused hedge was not queued, so the retry is requested anew.
    const AttemptSteps refused = request.placementRefused(0s, at(delay + 2ms));
    REQUIRE(refused.placement);
    CHECK_FALSE(refused.placement->isHedge);
    CHECK(refused.placement->retry);
    CHECK(request.placementRefused(0s, at(delay + 3ms)).ending == RequestEnding::Refused);
}

namespace {

/// Plays one request with random events, and checks each step.
class RandomRequest {
public:
    explicit RandomRequest(std::uint32_t seed)
        : m_random(seed)
        , m_limits { 10s, objective, 1 + draw(3), draw(8) != 0 }
        , m_pace(16U << draw(4))
        , m_request(m_limits)
    {
    }

    void play()
    {
        take(m_request.begin());
        for (unsigned i = 0; i < 10'000 && m_ending == RequestEnding::None; ++i) {
            m_now += std::chrono::milliseconds(draw(400));
            next();
        }
        REQUIRE(m_ending != RequestEnding::None);
        REQUIRE(m_active.empty());
        REQUIRE_FALSE(m_pending);
        REQUIRE(m_runs <= m_limits.attempts);
    }

    unsigned hedges() const { return m_hedges; }
    /// Attempts that were ended for another one's response.
    unsigned terminations() const { return m_terminations; }
    /// Responses that were relayed after the end of another attempt.
    unsigned relays() const { return m_relays; }

private:
    struct Active {
        unsigned status = 0;
        bool terminating = false;
        bool relaying = false;
        Kind terminatedAs = Kind::Terminated;
    };

    unsigned draw(unsigned below)
    {
        return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random);
    }

    AttemptConditions conditions()
    {
        AttemptConditions c = at(m_now);
        c.replayable = m_replayable;
        c.fitsBeforeStop = !m_stopping;
        c.hasRoom = draw(10) != 0;
        c.sent = draw(4) != 0;
        return c;
    }

    void next()
    {
        m_stopping = m_stopping || draw(400) == 0;
        m_replayable = m_replayable && draw(400) != 0;
        const unsigned kind = draw(10);
        if (m_pending && kind < 3) {
            m_pending = false;
            const bool isGranted = draw(3) != 0;
            const std::chrono::milliseconds delay(draw(800));
            take(isGranted ? m_request.placementGranted(conditions())
                           : m_request.placementRefused(delay, conditions()));
        } else if (!m_active.empty() && kind < 6) {
            auto chosen = m_active.begin();
            std::advance(chosen, draw(static_cast<unsigned>(m_active.size())));
            advance(chosen->first, chosen->second);
        } else if (draw(100) == 0) {
            m_callerLeft = true;
            take(m_request.callerLeft(conditions()));
        } else {
            take(m_request.poll(conditions()));
        }
    }

    void advance(unsigned number, Active& attempt)
    {
        static constexpr std::array statuses { 200U, 404U, 500U, 503U };
        const unsigned status = statuses.at(draw(statuses.size()));
        if (attempt.terminating)
            return finish(number, attempt.terminatedAs, 0);
        if (attempt.relaying)
            return finish(number, Kind::Relayed, attempt.status);
        if (attempt.status != 0)
            return m_now >= m_limits.deadline ? finish(number, Kind::TimedOut, 0) : void();
        if (m_now >= m_limits.deadline)
            return finish(number, Kind::TimedOut, 0);
        switch (draw(m_pace)) {
        case 0:
            return finish(number, Kind::NotReached, 0);
        case 1:
            return finish(number, Kind::Shed, 503);
        case 2:
            return finish(number, Kind::Failed, 0);
        case 3:
            return finish(number, Kind::Buffered, status);
        case 4:
            if (!m_concurrent[number])
                return finish(number, Kind::Relayed, status);
            attempt.status = status;
            return take(m_request.headArrived(number, status, conditions()));
        default:
            return take(m_request.poll(conditions()));
        }
    }

    void finish(unsigned number, Kind kind, unsigned status)
    {
        m_active.erase(number);
        AttemptEndEvent event = end(number, kind, status);
        event.hasStamp = status < 300 || draw(4) != 0;
        m_hasStamp = event.hasStamp;
        m_runs += event.mayHaveRun ? 1 : 0;
        take(m_request.ended(event, conditions()));
        m_hasStamp = true;
    }

    void terminate(const TerminationStep& step)
    {
        Active& ended = m_active.at(step.attempt);
        TerminationState state;
        state.callerClosed = m_callerLeft;
        state.ownStatus = ended.status;
        state.otherStatus = step.otherStatus;
        state.otherHasStamp = m_hasStamp;
        REQUIRE(mayTerminate(step.cause, state));
        REQUIRE_FALSE(ended.terminating);
        ended.terminating = true;
        m_terminations += step.cause == TerminationCause::OtherResponse ? 1 : 0;
        ended.terminatedAs = step.cause == TerminationCause::CallerDisconnected
            ? Kind::CallerDisconnected
            : Kind::Terminated;
    }

    void take(const AttemptSteps& steps)
    {
        REQUIRE(m_ending == RequestEnding::None);
        if (steps.cancelsPlacement)
            m_pending = false;
        if (steps.starts) {
            REQUIRE_FALSE(m_stopping);
            REQUIRE(m_active.size() < 2);
            REQUIRE(steps.starts->isHedge == (m_active.size() == 1));
            m_active[steps.starts->attempt];
            m_hedges += steps.starts->isHedge ? 1 : 0;
            m_concurrent[steps.starts->attempt] = steps.starts->concurrent;
        }
        if (steps.placement) {
            REQUIRE_FALSE(m_pending);
            m_pending = true;
        }
        for (const TerminationStep& step : steps.terminations)
            terminate(step);
        if (steps.relays) {
            REQUIRE(m_active.size() == 1);
            REQUIRE(m_active.begin()->first == *steps.relays);
            m_active.begin()->second.relaying = true;
            m_relays += m_hedges;
        }
        m_ending = steps.ending;
    }

    std::mt19937 m_random;
    AttemptLimits m_limits;
    /// One in so many steps of an attempt brings an event of each kind.
    unsigned m_pace;
    RequestAttempts m_request;
    Duration m_now {};
    std::map<unsigned, Active> m_active;
    std::map<unsigned, bool> m_concurrent;
    bool m_pending = false;
    bool m_replayable = true;
    /// Of the response that has just arrived.
    bool m_hasStamp = true;
    bool m_stopping = false;
    bool m_callerLeft = false;
    unsigned m_runs = 0;
    unsigned m_hedges = 0;
    unsigned m_terminations = 0;
    unsigned m_relays = 0;
    RequestEnding m_ending = RequestEnding::None;
};

} // namespace

TEST_CASE(
    "attempts: random requests end, end no attempt that the promise protects, keep their runs")
{
    constexpr std::uint32_t seeds = 5'000;
    unsigned hedges = 0;
    unsigned terminations = 0;
    unsigned relays = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        RandomRequest request(seed);
        request.play();
        hedges += request.hedges();
        terminations += request.terminations();
        relays += request.relays();
    }
    // The draws reach what the test is about.
    CAPTURE(hedges, terminations, relays);
    CHECK(hedges > seeds / 10);
    CHECK(terminations > seeds / 50);
    CHECK(relays > seeds / 50);
}
