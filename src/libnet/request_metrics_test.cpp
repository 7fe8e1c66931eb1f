#include <catch2/catch.hpp>

#include <laburnumroute/request_metrics.h>

using namespace laburnum;

TEST_CASE("metrics are counted per service, outcome and status, with latency quantiles")
{
    RequestMetrics metrics;
    for (int i = 1; i <= 1000; ++i) {
        RequestSample sample { ServiceId("s"), RequestOutcome::Answered, 200 };
        sample.latency = std::chrono::milliseconds(i);
        sample.added = std::chrono::microseconds(i);
        sample.bytes = 10;
        if (i <= 10)
            sample.placementWait = std::chrono::milliseconds(2 * i);
        metrics.record(sample);
    }
    metrics.record({ ServiceId("a\"b"), RequestOutcome::NotRun, 503, 1 });
    const std::string text = metrics.render();
    const auto has
        = [&](const std::string& line) { return text.find(line + '\n') != std::string::npos; };
    CHECK(has("# TYPE laburnum_requests_total counter"));
    CHECK(has(R"(laburnum_requests_total{service="s",outcome="answered",status="200"} 1000)"));
    CHECK(has(R"(laburnum_requests_total{service="a\"b",outcome="not-run",status="503"} 1)"));
    CHECK(has(R"(laburnum_retries_total{service="a\"b"} 1)"));
    CHECK(has(R"(laburnum_body_bytes_total{service="s"} 10000)"));
    CHECK(has(R"(laburnum_request_seconds_count{service="s"} 1000)"));
    CHECK(has("# TYPE laburnum_placing_seconds histogram"));
    CHECK(has(R"(laburnum_placing_seconds_bucket{service="s",le="0.002"} 1)"));
    CHECK(has(R"(laburnum_placing_seconds_bucket{service="s",le="0.005"} 2)"));
    CHECK(has(R"(laburnum_placing_seconds_bucket{service="s",le="0.02"} 10)"));
    CHECK(has(R"(laburnum_placing_seconds_bucket{service="s",le="+Inf"} 10)"));
    CHECK(has(R"(laburnum_placing_seconds_count{service="s"} 10)"));
    CHECK(has(R"(laburnum_instance_seconds_count{service="s"} 0)"));
    const std::string median = R"(laburnum_request_seconds{service="s",quantile="0.5"} )";
    const auto at = text.find(median);
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(text.substr(at + median.size())) == Approx(0.5).epsilon(0.05));
}

TEST_CASE("metrics: terminated attempts are counted by cause, each cause from the start")
{
    RequestMetrics metrics;
    for (std::size_t i = 0; i < terminationCauseCount; ++i) {
        for (std::size_t n = 0; n < i; ++n)
            metrics.countTermination(static_cast<TerminationCause>(i));
    }
    metrics.countRefusedTermination(TerminationCause::StopAbort);
    const std::string text = metrics.render();
    const auto has
        = [&](const std::string& line) { return text.find(line + '\n') != std::string::npos; };
    CHECK(has("# TYPE laburnum_attempts_terminated_total counter"));
    for (const TerminationRule& rule : terminationRules()) {
        const std::string label = std::string("{cause=\"") + rule.name + "\"} ";
        CHECK(has("laburnum_attempts_terminated_total" + label
            + std::to_string(static_cast<std::size_t>(rule.cause))));
        const bool isAbort = rule.cause == TerminationCause::StopAbort;
        CHECK(has("laburnum_attempt_terminations_refused_total" + label + (isAbort ? "1" : "0")));
    }
}
