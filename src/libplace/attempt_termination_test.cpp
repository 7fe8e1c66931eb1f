#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <string>

#include <laburnumroute/attempt_termination.h>
#include <laburnumroute/planned_stop.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

using Cause = TerminationCause;

/// An instance is at work, and nothing has happened that gives anyone the right to end it.
TerminationState atWork()
{
    TerminationState state;
    state.now = 1s;
    state.deadline = 4s;
    state.idleLimit = 30s;
    return state;
}

/// A planned stop `elapsed` after its signal.
TerminationState stopping(Duration elapsed, unsigned signals = 1)
{
    const PlannedStop stop(10s);
    TerminationState state = atWork();
    state.stopSignals = signals;
    state.sinceStop = elapsed;
    state.abortAfter = stop.abortAfter();
    state.exitAfter = stop.exitAfter();
    return state;
}

TerminationState with(const std::function<void(TerminationState&)>& change)
{
    TerminationState state = atWork();
    change(state);
    return state;
}

/// The causes that are permitted in `state`, by name.
std::set<std::string> permitted(const TerminationState& state)
{
    std::set<std::string> names;
    for (const TerminationRule& rule : terminationRules()) {
        if (mayTerminate(rule.cause, state))
            names.insert(rule.name);
    }
    return names;
}

using Names = std::set<std::string>;

} // namespace

TEST_CASE("termination: each cause has one rule, with its own name, a party and a condition")
{
    Names names;
    for (std::size_t i = 0; i < terminationCauseCount; ++i) {
        const auto cause = static_cast<Cause>(i);
        const TerminationRule& rule = terminationRule(cause);
        CHECK(rule.cause == cause);
        CHECK(names.insert(terminationCauseName(cause)).second);
        CHECK(std::string(rule.condition) != "");
        CHECK(std::string(terminationPartyName(rule.party)) != "");
    }
    REQUIRE(names.size() == terminationRules().size());
}

TEST_CASE("termination: nothing ends an attempt at work to which nothing has happened")
{
    CHECK(permitted(atWork()).empty());
    CHECK(permitted(TerminationState {}).empty());
    // The instance may take any time until the deadline, whatever the latency objective.
    for (Duration now = 0s; now < 4s; now += 1ms) {
        TerminationState state = atWork();
        state.now = now;
        state.idle = now;
        REQUIRE(permitted(state).empty());
    }
}

TEST_CASE("termination: each event permits its own causes and no other")
{
    struct Row {
        TerminationState state;
        Names causes;
    };
    const std::vector<Row> rows {
        { with([](auto& s) { s.callerClosed = true; }), { "caller-gone" } },
        { with([](auto& s) { s.callerMalformed = true; }), { "caller-malformed" } },
        { with([](auto& s) { s.now = 4s - 1ns; }), {} },
        { with([](auto& s) { s.now = 4s; }), { "deadline" } },
        { with([](auto& s) { s.idle = 30s; }), {} },
        { with([](auto& s) { s.waitsForCaller = true; }), {} },
        { with([](auto& s) {
             s.waitsForCaller = true;
             s.idle = 30s - 1ns;
         }),
            {} },
        { with([](auto& s) {
             s.waitsForCaller = true;
             s.idle = 30s;
         }),
            { "caller-stalled" } },
        // An instance's silence is no reason while its response has a time limit.
        { with([](auto& s) {
             s.ownStatus = 200;
             s.idle = 1h;
         }),
            {} },
        { with([](auto& s) {
             s.ownStatus = 200;
             s.deadline = maxDuration;
             s.idle = 30s - 1ns;
         }),
            {} },
        { with([](auto& s) {
             s.ownStatus = 200;
             s.deadline = maxDuration;
             s.idle = 30s;
         }),
            { "instance-stalled" } },
        { with([](auto& s) {
             s.deadline = maxDuration;
             s.idle = 1h;
         }),
            {} },
        { with([](auto& s) {
             s.ownStatus = 200;
             s.isSilent = false;
             s.idle = 30s - 1ns;
         }),
            {} },
        { with([](auto& s) {
             s.ownStatus = 200;
             s.isSilent = false;
             s.idle = 30s;
         }),
            { "instance-stalled" } },
        { with([](auto& s) {
             s.isSilent = false;
             s.idle = 1h;
         }),
            {} },
        { with([](auto& s) { s.notHttp = true; }), { "not-http" } },
        { with([](auto& s) { s.tooLong = true; }), { "too-long" } },
        { with([](auto& s) { s.hasStamp = false; }), {} },
        { with([](auto& s) {
             s.hasStamp = false;
             s.ownStatus = 299;
         }),
            { "no-stamp" } },
        { with([](auto& s) {
             s.hasStamp = false;
             s.ownStatus = 300;
         }),
            {} },
        { with([](auto& s) { s.replaced = true; }), {} },
        { with([](auto& s) {
             s.replaced = true;
             s.ownStatus = 499;
         }),
            {} },
        { with([](auto& s) {
             s.replaced = true;
             s.ownStatus = 500;
         }),
            { "server-error" } },
        { with([](auto& s) { s.connectionClosed = true; }), { "connection-lost" } },
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
        INFO("row " << i);
        CHECK(permitted(rows[i].state) == rows[i].causes);
    }
}

TEST_CASE("termination: another response counts once it is there and is no server error")
{
    for (const unsigned own : { 0U, 200U, 404U, 500U, 503U }) {
        for (const unsigned other : { 0U, 200U, 302U, 404U, 499U, 500U, 503U, 599U }) {
            const auto state = with([&](auto& s) {
                s.ownStatus = own;
                s.otherStatus = other;
            });
            // Between two server errors either may be sent; a response beats a server error.
            const bool expected = other != 0 && (other < 500 || own >= 500);
            INFO("own " << own << ", other " << other);
            CHECK(permitted(state) == (expected ? Names { "other-response" } : Names {}));
            TerminationState unstamped = state;
            unstamped.otherHasStamp = false;
            CHECK(permitted(unstamped).empty());
        }
    }
}

TEST_CASE("termination: a planned stop ends attempts from its abort on, not before")
{
    for (const Duration grace : { 1s, 3s, 10s, 30s, 600s }) {
        const PlannedStop stop(grace);
        const auto at = [&](Duration elapsed) {
            TerminationState state = atWork();
            state.stopSignals = 1;
            state.sinceStop = elapsed;
            state.abortAfter = stop.abortAfter();
            state.exitAfter = stop.exitAfter();
            return permitted(state);
        };
        CHECK(at(0s).empty());
        CHECK(at(stop.lateAfter()).empty());
        CHECK(at(stop.drainAfter()).empty());
        CHECK(at(stop.abortAfter() - 1ns).empty());
        CHECK(at(stop.abortAfter()) == Names { "stop-abort" });
        CHECK(at(stop.exitAfter() - 1ns) == Names { "stop-abort" });
        CHECK(at(stop.exitAfter()) == Names { "stop-abort", "stop-exit" });
        CHECK(at(grace) == Names { "stop-abort", "stop-exit" });
    }
}

TEST_CASE("termination: without a signal no time of a stop counts, and a second one counts at once")
{
    CHECK(permitted(stopping(1h, 0)).empty());
    CHECK(permitted(stopping(0s, 1)).empty());
    CHECK(permitted(stopping(0s, 2)) == Names { "second-signal" });
    CHECK(permitted(stopping(9600ms, 2)) == Names { "second-signal", "stop-abort" });
}

TEST_CASE(
    "termination: the host itself may end an attempt for another response or a replacement only")
{
    for (const TerminationRule& rule : terminationRules()) {
        const bool isHost = rule.party == TerminationParty::Host;
        CHECK(isHost
            == (rule.cause == Cause::OtherResponse || rule.cause == Cause::ServerErrorReplaced));
    }
}
