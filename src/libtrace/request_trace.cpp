#include <laburnumroute/request_trace.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "instance_record_pvt.h"

namespace laburnum {

namespace {

    /// What a host believed changes rarely; lines this long before a request still explain it.
    constexpr std::int64_t beliefMs = 3000;
    constexpr std::int64_t statusMisdirected = 421;
    constexpr std::int64_t statusGatewayTimeout = 504;

    constexpr std::array<const char*, 18> causeNames { "never-seen", "host-died", "served",
        "instance-gray", "instance-error", "instance-slow", "instance-silent", "answer-broken",
        "instance-gone", "path-cut", "given-up", "shed", "no-place", "no-instance",
        "no-configuration", "no-route", "caller-left", "refused" };

    std::string ms(std::int64_t value) { return std::to_string(value) + " ms"; }

    /// What explains a request besides its own lines: changes of its host's beliefs.
    bool isBelief(const LogLine& line)
    {
        return line.kind == "leader" || line.kind == "start" || line.kind == "stop"
            || line.kind == "reload" || line.kind == "config";
    }

    /// Finds the cause of one request's end.
    class Explainer {
    public:
        Explainer(
            const LogLines& log, const std::string& id, const std::vector<const LogLine*>& own)
            : m_log(log)
            , m_id(id)
        {
            for (const LogLine* line : own) {
                if (line->kind == "request") {
                    m_end = line;
                } else if (line->kind == "hedge") {
                    m_hedge = line;
                } else if (line->kind == "attempt") {
                    m_lastAttempt = line;
                    m_sheds += line->reason == "shed" ? 1 : 0;
                    m_unreached += line->reason == "not-connected" ? 1 : 0;
                }
            }
        }

        void explain(RequestTrace& story) const
        {
            if (m_end == nullptr)
                return explainMissing(story);
            const std::string& reason = m_end->reason;
            if (pvt::isServed(*m_end))
                tell(story, OutcomeCause::Served, servedSentence());
            else if (reason == "answered")
                explainFailure(story, *m_end);
            else if (reason == "deadline")
                explainDeadline(story);
            else if (reason == "no-answer" || reason == "bad-answer" || reason == "cut")
                explainBroken(story, *m_end);
            else if (reason == "caller-gone")
                explainLeft(story);
            else
                explainRefusal(story);
        }

    private:
        static void tell(RequestTrace& story, OutcomeCause cause, std::string sentence)
        {
            story.cause = cause;
            story.sentence = std::move(sentence);
        }

        std::string instanceOf(const LogLine& line) const
        {
            const std::string named = line.text("instance");
            return named.empty() && m_lastAttempt ? m_lastAttempt->text("instance") : named;
        }

        pvt::InstanceRecord recordOf(const std::string& instance) const
        {
            const LogLine& line = m_end ? *m_end : *m_lastAttempt;
            return pvt::recordAround(m_log, instance, line.timeMs, m_id);
        }

        static std::string recordText(const pvt::InstanceRecord& record)
        {
            return "within " + ms(pvt::aroundMs) + " of it " + std::to_string(record.failed)
                + " others failed there, " + std::to_string(record.served) + " were served, "
                + std::to_string(record.unreached) + " found no connection"
                + (record.doubted ? "; the leader listed it as doubtful" : "");
        }

        std::string servedSentence() const
        {
            return "answered by " + m_end->text("instance") + " after " + ms(m_end->number("ms"))
                + ", of which " + ms(m_end->number("placing_ms")) + " waiting for a place";
        }

        void explainMissing(RequestTrace& story) const
        {
            if (m_lastAttempt == nullptr) {
                tell(story, OutcomeCause::NeverSeen,
                    "no line names the request: its host never read it, or died before it wrote");
                return;
            }
            tell(story, OutcomeCause::HostDied,
                m_lastAttempt->host + " wrote no end: its process ended after the attempt at "
                    + m_lastAttempt->text("instance"));
        }

        void explainFailure(RequestTrace& story, const LogLine& line) const
        {
            const std::string instance = instanceOf(line);
            const auto record = recordOf(instance);
            if (line.number("status") == statusGatewayTimeout) {
                tell(story,
                    record.isGray() ? OutcomeCause::InstanceSilent : OutcomeCause::InstanceSlow,
                    instance + " gave up when the time that it was given had passed: "
                        + recordText(record));
                return;
            }
            const std::string head
                = instance + " answered " + std::to_string(line.number("status"));
            if (record.isGray())
                tell(story, OutcomeCause::InstanceGray,
                    head + " and is gray: " + recordText(record));
            else
                tell(story, OutcomeCause::InstanceError,
                    head + ", an error of its own: " + recordText(record));
        }

        void explainDeadline(RequestTrace& story) const
        {
            const std::int64_t whole = m_end->number("ms");
            const std::int64_t placing = m_end->number("placing_ms");
            if (2 * placing > whole || instanceOf(*m_end).empty()) {
                tell(story, OutcomeCause::NoPlace,
                    "its time ran out after " + ms(whole) + ", of which " + ms(placing)
                        + " waiting for a place");
                return;
            }
            const std::string instance = instanceOf(*m_end);
            tellSilence(story, instance, ms(whole - placing) + " of " + ms(whole));
        }

        void tellSilence(
            RequestTrace& story, const std::string& instance, const std::string& time) const
        {
            const auto record = recordOf(instance);
            tell(story, record.isGray() ? OutcomeCause::InstanceSilent : OutcomeCause::InstanceSlow,
                instance + " gave no answer in time (" + time + "): " + recordText(record)
                    + hedgeText());
        }

        std::string hedgeText() const
        {
            if (m_hedge == nullptr)
                return {};
            if (m_hedge->reason == "granted")
                return "; " + m_hedge->text("second") + " was tried beside "
                    + m_hedge->text("instance") + ", which had been silent for "
                    + ms(m_hedge->number("ms"));
            return "; no second attempt beside it was placed (" + m_hedge->text("refusal") + ")";
        }

        void explainBroken(RequestTrace& story, const LogLine& line) const
        {
            const std::string instance = instanceOf(line);
            tell(story, OutcomeCause::AnswerBroken,
                instance + " broke off or sent what is no answer (" + line.reason
                    + "): " + recordText(recordOf(instance)));
        }

        void explainGivenUp(RequestTrace& story) const
        {
            const std::string instance = m_lastAttempt->text("instance");
            tell(story, OutcomeCause::GivenUp,
                m_end->host + " gave up " + instance + " after " + ms(m_lastAttempt->number("ms"))
                    + " without an answer, with " + ms(m_lastAttempt->number("left_ms"))
                    + " left, and got no place for a repeat (" + m_end->reason
                    + "): " + recordText(recordOf(instance)));
        }

        void explainLeft(RequestTrace& story) const
        {
            const std::int64_t whole = m_end->number("ms");
            const std::int64_t placing = m_end->number("placing_ms");
            const std::string meanwhile = m_end->number("sends") == 0
                ? "waiting for a place"
                : "at " + instanceOf(*m_end) + " (" + ms(placing) + " of it waiting for places)";
            tell(story, OutcomeCause::CallerLeft,
                "the caller left after " + ms(whole) + ", " + meanwhile);
        }

        void explainRefusal(RequestTrace& story) const
        {
            const std::string& reason = m_end->reason;
            if (m_lastAttempt && m_lastAttempt->reason == "given-up")
                return explainGivenUp(story);
            if (reason == "no-budget" || reason == "shed")
                return explainNoRepeat(story);
            if (reason == "not-connected")
                return explainUnreached(story, instanceOf(*m_end));
            if (reason == "no-configuration") {
                tell(story, OutcomeCause::NoConfiguration, configurationSentence());
                return;
            }
            static const std::array<std::pair<const char*, OutcomeCause>, 3> plain { {
                { "busy", OutcomeCause::NoPlace },
                { "no-instance", OutcomeCause::NoInstance },
                { "no-route", OutcomeCause::NoRoute },
            } };
            const auto found = std::find_if(
                plain.begin(), plain.end(), [&](const auto& each) { return reason == each.first; });
            tell(story, found == plain.end() ? OutcomeCause::Refused : found->second,
                m_end->host + " refused it: " + reason + " (service '" + m_end->text("service")
                    + "', configuration " + std::to_string(m_end->number("config")) + ")");
        }

        void explainNoRepeat(RequestTrace& story) const
        {
            if (m_lastAttempt && m_lastAttempt->number("status") == statusMisdirected) {
                tell(story, OutcomeCause::InstanceGone,
                    m_lastAttempt->text("instance")
                        + " is gone and its address another's; no repeat was left");
                return;
            }
            if (m_lastAttempt == nullptr || m_lastAttempt->reason == "shed") {
                tell(story, OutcomeCause::Shed,
                    "declined by " + std::to_string(m_sheds) + " instances, last "
                        + instanceOf(*m_end) + "; the fleet's budget of repeats was used up");
                return;
            }
            if (m_lastAttempt->reason == "not-connected")
                return explainUnreached(story, m_lastAttempt->text("instance"));
            const std::string& how = m_lastAttempt->reason;
            if (how == "deadline")
                tellSilence(
                    story, m_lastAttempt->text("instance"), ms(m_lastAttempt->number("ms")));
            else if (how == "no-answer" || how == "bad-answer")
                explainBroken(story, *m_lastAttempt);
            else
                explainFailure(story, *m_lastAttempt);
            story.sentence += "; the fleet's budget of repeats was used up";
        }

        void explainUnreached(RequestTrace& story, const std::string& instance) const
        {
            const auto record = recordOf(instance);
            const bool others = record.served > 0;
            tell(story, others ? OutcomeCause::PathCut : OutcomeCause::InstanceGone,
                m_end->host + " found no connection in " + std::to_string(m_unreached)
                    + " tries, last to " + instance + ", which others "
                    + (others ? "reached: " : "did not reach either: ") + recordText(record));
        }

        std::string configurationSentence() const
        {
            const auto started
                = std::find_if(m_log.lines.rbegin(), m_log.lines.rend(), [&](const LogLine& line) {
                      return line.kind == "start" && line.host == m_end->host
                          && line.timeMs <= m_end->timeMs;
                  });
            std::string sentence = m_end->host + " knew no configuration yet";
            if (started != m_log.lines.rend())
                sentence += ", " + ms(m_end->timeMs - started->timeMs) + " after its start";
            return sentence;
        }

        const LogLines& m_log;
        const std::string& m_id;
        const LogLine* m_end = nullptr;
        const LogLine* m_lastAttempt = nullptr;
        const LogLine* m_hedge = nullptr;
        unsigned m_sheds = 0;
        unsigned m_unreached = 0;
    };

} // namespace

const char* outcomeCauseName(OutcomeCause cause) noexcept
{
    return causeNames.at(static_cast<std::size_t>(cause));
}

RequestTrace traceRequest(const LogLines& log, const std::string& id)
{
    RequestTrace story;
    std::vector<const LogLine*> own;
    for (const LogLine& line : log.lines) {
        if (!id.empty() && line.text("id") == id)
            own.push_back(&line);
    }
    Explainer(log, id, own).explain(story);
    if (own.empty())
        return story;
    // An end is written when it comes; the request began `ms` before.
    const std::int64_t began = own.front()->timeMs - own.front()->number("ms") - beliefMs;
    for (const LogLine& line : log.lines) {
        const bool isOwn = line.text("id") == id;
        const bool explains = isBelief(line) && line.host == own.back()->host
            && line.timeMs >= began && line.timeMs <= own.back()->timeMs;
        if (isOwn || explains)
            story.lines.push_back(line);
    }
    return story;
}

} // namespace laburnum
