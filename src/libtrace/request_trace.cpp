#include <laburnumroute/request_trace.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "instance_record_pvt.h"

namespace laburnum {

namespace {

    /// A host's state changes rarely: state lines from this long before a request still explain it.
    constexpr std::int64_t stateLookbackMs = 3000;
    constexpr std::int64_t statusMisdirected = 421;
    constexpr std::int64_t statusGatewayTimeout = 504;

    constexpr std::array<const char*, 18> causeNames { "never-seen", "host-died", "served",
        "instance-gray", "instance-error", "instance-slow", "instance-silent", "answer-broken",
        "instance-gone", "path-cut", "given-up", "shed", "no-place", "no-instance",
        "no-configuration", "no-route", "caller-left", "refused" };

    std::string ms(std::int64_t value) { return std::to_string(value) + " ms"; }

    /// True for changes of a host's state: its leader, its configuration, its start and stop.
    bool isHostState(const LogLine& line)
    {
        return line.kind == "leader" || line.kind == "start" || line.kind == "stop"
            || line.kind == "reload" || line.kind == "config" || line.kind == "accounts";
    }

    /// Determines the cause of one request's outcome from its lines and those of other requests.
    class OutcomeExplainer {
    public:
        OutcomeExplainer(
            const LogLines& log, const std::string& id, const std::vector<const LogLine*>& own)
            : m_log(log)
            , m_id(id)
        {
            for (const LogLine* line : own) {
                if (line->kind == "request") {
                    m_final = line;
                } else if (line->kind == "hedge") {
                    m_hedge = line;
                } else if (line->kind == "attempt") {
                    m_lastAttempt = line;
                    m_shedCount += line->reason == "shed" ? 1 : 0;
                    m_notConnected += line->reason == "not-connected" ? 1 : 0;
                }
            }
        }

        void explain(RequestTrace& trace) const
        {
            if (m_final == nullptr)
                return explainNoFinalLine(trace);
            const std::string& reason = m_final->reason;
            if (pvt::isServed(*m_final))
                setOutcome(trace, OutcomeCause::Served, servedExplanation());
            else if (reason == "answered")
                explainFailure(trace, *m_final);
            else if (reason == "deadline")
                explainDeadline(trace);
            else if (reason == "no-answer" || reason == "bad-answer" || reason == "cut")
                explainInvalidResponse(trace, *m_final);
            else if (reason == "caller-gone")
                explainCallerLeft(trace);
            else
                explainRefusal(trace);
        }

    private:
        static void setOutcome(RequestTrace& trace, OutcomeCause cause, std::string explanation)
        {
            trace.cause = cause;
            trace.explanation = std::move(explanation);
        }

        std::string instanceOf(const LogLine& line) const
        {
            const std::string named = line.text("instance");
            return named.empty() && m_lastAttempt ? m_lastAttempt->text("instance") : named;
        }

        pvt::InstanceRecord recordOf(const std::string& instance) const
        {
            const LogLine& line = m_final ? *m_final : *m_lastAttempt;
            return pvt::instanceRecordNear(m_log, instance, line.timeMs, m_id);
        }

        static std::string recordText(const pvt::InstanceRecord& record)
        {
            return "within " + ms(pvt::recordWindowMs) + " of this request "
                + std::to_string(record.failed) + " other attempts failed there, "
                + std::to_string(record.served) + " requests were served, "
                + std::to_string(record.notConnected) + " attempts could not connect"
                + (record.doubted ? "; the leader listed it as doubtful" : "");
        }

        std::string servedExplanation() const
        {
            return "answered by " + m_final->text("instance") + " after "
                + ms(m_final->number("ms")) + ", of which " + ms(m_final->number("placing_ms"))
                + " waiting for a slot";
        }

        void explainNoFinalLine(RequestTrace& trace) const
        {
            if (m_lastAttempt == nullptr) {
                setOutcome(trace, OutcomeCause::NeverSeen,
                    "no line has the request's id: no host read the request, or its host died "
                    "before it wrote a line");
                return;
            }
            setOutcome(trace, OutcomeCause::HostDied,
                m_lastAttempt->host + " logged no outcome: its process ended after the attempt at "
                    + m_lastAttempt->text("instance"));
        }

        void explainFailure(RequestTrace& trace, const LogLine& line) const
        {
            const std::string instance = instanceOf(line);
            const auto record = recordOf(instance);
            if (line.number("status") == statusGatewayTimeout) {
                setOutcome(trace,
                    record.isGray() ? OutcomeCause::InstanceSilent : OutcomeCause::InstanceSlow,
                    instance
                        + " answered 504 because its time limit had passed: " + recordText(record));
                return;
            }
            const std::string answered
                = instance + " answered " + std::to_string(line.number("status"));
            if (record.isGray())
                setOutcome(trace, OutcomeCause::InstanceGray,
                    answered + " and is gray: " + recordText(record));
            else
                setOutcome(trace, OutcomeCause::InstanceError,
                    answered + ", an isolated error: " + recordText(record));
        }

        void explainDeadline(RequestTrace& trace) const
        {
            const std::int64_t total = m_final->number("ms");
            const std::int64_t placing = m_final->number("placing_ms");
            if (2 * placing > total || instanceOf(*m_final).empty()) {
                setOutcome(trace, OutcomeCause::NoPlace,
                    "the deadline passed after " + ms(total) + ", of which " + ms(placing)
                        + " waiting for a slot");
                return;
            }
            const std::string instance = instanceOf(*m_final);
            explainTimeout(trace, instance, ms(total - placing) + " of " + ms(total));
        }

        void explainTimeout(
            RequestTrace& trace, const std::string& instance, const std::string& time) const
        {
            const auto record = recordOf(instance);
            setOutcome(trace,
                record.isGray() ? OutcomeCause::InstanceSilent : OutcomeCause::InstanceSlow,
                instance + " did not answer in time (" + time + "): " + recordText(record)
                    + hedgeText());
        }

        std::string hedgeText() const
        {
            if (m_hedge == nullptr)
                return {};
            if (m_hedge->reason == "granted")
                return "; a hedged attempt went to " + m_hedge->text("second") + " after "
                    + m_hedge->text("instance") + " had been silent for "
                    + ms(m_hedge->number("ms"));
            return "; no hedged attempt was placed (" + m_hedge->text("refusal") + ")";
        }

        void explainInvalidResponse(RequestTrace& trace, const LogLine& line) const
        {
            const std::string instance = instanceOf(line);
            setOutcome(trace, OutcomeCause::AnswerBroken,
                instance + " sent no complete, valid response (" + line.reason
                    + "): " + recordText(recordOf(instance)));
        }

        void explainAbandoned(RequestTrace& trace) const
        {
            const std::string instance = m_lastAttempt->text("instance");
            setOutcome(trace, OutcomeCause::GivenUp,
                m_final->host + " abandoned the attempt at " + instance + " after "
                    + ms(m_lastAttempt->number("ms")) + " without a response, with "
                    + ms(m_lastAttempt->number("left_ms")) + " left, and no retry was placed ("
                    + m_final->reason + "): " + recordText(recordOf(instance)));
        }

        void explainCallerLeft(RequestTrace& trace) const
        {
            const std::int64_t total = m_final->number("ms");
            const std::int64_t placing = m_final->number("placing_ms");
            const std::string meanwhile = m_final->number("sends") == 0
                ? "while the request waited for a slot"
                : "during an attempt at " + instanceOf(*m_final) + " (" + ms(placing)
                    + " of it spent waiting for slots)";
            setOutcome(trace, OutcomeCause::CallerLeft,
                "the caller closed the connection after " + ms(total) + ", " + meanwhile);
        }

        void explainRefusal(RequestTrace& trace) const
        {
            const std::string& reason = m_final->reason;
            if (m_lastAttempt && m_lastAttempt->reason == "given-up")
                return explainAbandoned(trace);
            if (reason == "no-budget" || reason == "shed")
                return explainNoRetry(trace);
            if (reason == "not-connected")
                return explainNotConnected(trace, instanceOf(*m_final));
            if (reason == "no-configuration") {
                setOutcome(trace, OutcomeCause::NoConfiguration, noConfigurationExplanation());
                return;
            }
            static const std::array<std::pair<const char*, OutcomeCause>, 3> simpleCauses { {
                { "busy", OutcomeCause::NoPlace },
                { "no-instance", OutcomeCause::NoInstance },
                { "no-route", OutcomeCause::NoRoute },
            } };
            const auto found = std::find_if(simpleCauses.begin(), simpleCauses.end(),
                [&](const auto& each) { return reason == each.first; });
            setOutcome(trace, found == simpleCauses.end() ? OutcomeCause::Refused : found->second,
                m_final->host + " refused it: " + reason + " (service '" + m_final->text("service")
                    + "', configuration " + m_final->facts["config"].asString() + ")"
                    + accountKeyText());
        }

        /// What the log says about the account key of a request that was refused for it.
        std::string accountKeyText() const
        {
            const std::string cause = m_final->text("cause");
            const std::string key = m_final->text("key");
            return (cause.empty() ? "" : ": " + cause)
                + (key.empty() ? "" : ", key with fingerprint " + key);
        }

        void explainNoRetry(RequestTrace& trace) const
        {
            if (m_lastAttempt && m_lastAttempt->number("status") == statusMisdirected) {
                setOutcome(trace, OutcomeCause::InstanceGone,
                    m_lastAttempt->text("instance")
                        + " is gone and another instance has its address; the retry budget was "
                          "used up");
                return;
            }
            if (m_lastAttempt == nullptr || m_lastAttempt->reason == "shed") {
                setOutcome(trace, OutcomeCause::Shed,
                    "shed by " + std::to_string(m_shedCount) + " instances, last by "
                        + instanceOf(*m_final) + "; the fleet's retry budget was used up");
                return;
            }
            if (m_lastAttempt->reason == "not-connected")
                return explainNotConnected(trace, m_lastAttempt->text("instance"));
            const std::string& how = m_lastAttempt->reason;
            if (how == "deadline")
                explainTimeout(
                    trace, m_lastAttempt->text("instance"), ms(m_lastAttempt->number("ms")));
            else if (how == "no-answer" || how == "bad-answer")
                explainInvalidResponse(trace, *m_lastAttempt);
            else
                explainFailure(trace, *m_lastAttempt);
            trace.explanation += "; the fleet's retry budget was used up";
        }

        void explainNotConnected(RequestTrace& trace, const std::string& instance) const
        {
            const auto record = recordOf(instance);
            const bool others = record.served > 0;
            setOutcome(trace, others ? OutcomeCause::PathCut : OutcomeCause::InstanceGone,
                m_final->host + " could not connect in " + std::to_string(m_notConnected)
                    + " attempts, last to " + instance + ", which other hosts "
                    + (others ? "reached: " : "did not reach either: ") + recordText(record));
        }

        std::string noConfigurationExplanation() const
        {
            const auto started
                = std::find_if(m_log.lines.rbegin(), m_log.lines.rend(), [&](const LogLine& line) {
                      return line.kind == "start" && line.host == m_final->host
                          && line.timeMs <= m_final->timeMs;
                  });
            std::string explanation = m_final->host + " had no configuration yet";
            if (started != m_log.lines.rend())
                explanation += ", " + ms(m_final->timeMs - started->timeMs) + " after its start";
            return explanation;
        }

        const LogLines& m_log;
        const std::string& m_id;
        const LogLine* m_final = nullptr;
        const LogLine* m_lastAttempt = nullptr;
        const LogLine* m_hedge = nullptr;
        unsigned m_shedCount = 0;
        unsigned m_notConnected = 0;
    };

} // namespace

const char* outcomeCauseName(OutcomeCause cause) noexcept
{
    return causeNames.at(static_cast<std::size_t>(cause));
}

RequestTrace traceRequest(const LogLines& log, const std::string& id)
{
    RequestTrace trace;
    std::vector<const LogLine*> own;
    for (const LogLine& line : log.lines) {
        if (!id.empty() && line.text("id") == id)
            own.push_back(&line);
    }
    OutcomeExplainer(log, id, own).explain(trace);
    if (own.empty())
        return trace;
    // A line is written when its attempt or request ends; it began `ms` earlier.
    const std::int64_t began = own.front()->timeMs - own.front()->number("ms") - stateLookbackMs;
    for (const LogLine& line : log.lines) {
        const bool isOwn = line.text("id") == id;
        const bool isContext = isHostState(line) && line.host == own.back()->host
            && line.timeMs >= began && line.timeMs <= own.back()->timeMs;
        if (isOwn || isContext)
            trace.lines.push_back(line);
    }
    return trace;
}

} // namespace laburnum
