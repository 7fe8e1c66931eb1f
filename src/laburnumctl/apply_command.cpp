// The command apply; see commands.h.

#include "commands.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <xxhash.h>

#include "exit_codes.h"
#include "report.h"
#include "text_diff.h"

namespace laburnum::ctl {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(200);

    /// Derives the id from the content and the base revision, so that running the same command
    /// again submits the same change again instead of a second one.
    ChangeId deriveChangeId(const std::string& content, const Revision& expected)
    {
        constexpr std::string_view hexDigits = "0123456789abcdef";
        const XXH128_hash_t hash
            = XXH3_128bits_withSeed(content.data(), content.size(), expected.value());
        XXH128_canonical_t canonical;
        XXH128_canonicalFromHash(&canonical, hash);
        std::string id = "auto-";
        for (const unsigned char byte : canonical.digest) {
            id += hexDigits[byte >> 4];
            id += hexDigits[byte & 0xf];
        }
        return ChangeId(id);
    }

    /// Builds the change, based on `current` unless the options name another revision.
    ConfigChange makeChange(
        const Options& options, const std::string& content, const Revision& current)
    {
        const Revision expected = options.expected ? Revision(*options.expected) : current;
        const ChangeId id
            = options.changeId ? ChangeId(*options.changeId) : deriveChangeId(content, expected);
        return { id, expected, content };
    }

    /// Prints what other changes did since the base revision of the refused change.
    int reportConflict(Session& session, const ConfigChange& change, const Error& error)
    {
        const int exitCode = reportError(session, error);
        const auto base = session.client.version(change.expected);
        const auto current = session.client.version(std::nullopt);
        if (session.options.json || !base || !current || current->revision == base->revision)
            return exitCode;
        session.errors << "changed since revision " << base->revision.value() << ", up to revision "
                       << current->revision.value() << " by change '" << current->change.value()
                       << "':\n"
                       << diffLines(base->content, current->content);
        return exitCode;
    }

    /// Hosts that do not have a revision yet.
    struct LaggingHosts {
        std::vector<HostId> alive;
        std::vector<HostId> outOfReach;
        bool empty() const { return alive.empty() && outOfReach.empty(); }
    };

    LaggingHosts findLaggingHosts(const FleetStatus& status, const Revision& revision)
    {
        LaggingHosts lagging;
        for (const auto& host : status.hosts) {
            if (host.revision < revision)
                (host.alive ? lagging.alive : lagging.outOfReach).push_back(host.host);
        }
        return lagging;
    }

    /// Polls until every host that is alive has `revision`, or until the time of --wait has passed.
    Expected<LaggingHosts> waitUntilInForce(Session& session, const Revision& revision)
    {
        const TimePoint deadline = session.time.clock.now() + session.options.wait;
        while (true) {
            const auto status = session.client.status();
            if (!status)
                return tl::unexpected<Error>(status.error());
            LaggingHosts lagging = findLaggingHosts(*status, revision);
            if (lagging.alive.empty() || session.time.clock.now() >= deadline)
                return lagging;
            session.time.sleep(pollInterval);
        }
    }

    Json::Value encodeHosts(const std::vector<HostId>& hosts)
    {
        Json::Value array(Json::arrayValue);
        for (const auto& host : hosts)
            array.append(host.value());
        return array;
    }

    void printHosts(const Session& session, const char* title, const std::vector<HostId>& hosts)
    {
        for (const auto& host : hosts)
            session.out << title << host.value() << '\n';
    }

    int reportRollout(const Session& session, const Revision& revision, const ChangeId& change,
        const LaggingHosts& lagging)
    {
        if (session.options.json) {
            Json::Value value(Json::objectValue);
            value["revision"] = Json::UInt64(revision.value());
            value["change"] = change.value();
            value["lagging"] = encodeHosts(lagging.alive);
            value["out_of_reach"] = encodeHosts(lagging.outOfReach);
            printJson(session, value);
        } else {
            session.out << "revision " << revision.value()
                        << (lagging.empty() ? " is in force everywhere\n"
                                            : " is accepted, but not in force everywhere\n");
            printHosts(session, "lags: ", lagging.alive);
            printHosts(session, "out of reach: ", lagging.outOfReach);
        }
        return lagging.empty() ? ExitOk : ExitLagging;
    }

    /// Waits until `revision` is in force everywhere, and reports the result.
    int waitAndReport(Session& session, const Revision& revision, const ChangeId& change)
    {
        if (session.options.wait.count() == 0) {
            if (session.options.json)
                return reportRollout(session, revision, change, {});
            session.out << "revision " << revision.value() << " is accepted\n";
            return ExitOk;
        }
        const auto lagging = waitUntilInForce(session, revision);
        if (!lagging) {
            session.errors << "revision " << revision.value()
                           << " is accepted; whether it is in force everywhere is unknown\n";
            return reportError(session, lagging.error());
        }
        return reportRollout(session, revision, change, *lagging);
    }

    /// Reads and checks the file; empty, with `exitCode` set, when it cannot be submitted.
    std::optional<std::string> readAndCheck(const Session& session, int& exitCode)
    {
        const std::string& path = session.options.arguments[0];
        auto text = readFile(session, path);
        exitCode = ExitUsage;
        if (!text)
            return std::nullopt;
        const Findings findings = checkConfiguration(*text, path);
        for (const auto& finding : findings.sorted())
            session.errors << formatFinding(finding) << '\n';
        exitCode = ExitFindings;
        return findings.hasErrors() ? std::nullopt : std::move(text);
    }

} // namespace

int runApply(Session& session)
{
    int exitCode = ExitOk;
    const auto content = readAndCheck(session, exitCode);
    if (!content)
        return exitCode;
    const bool isDerivedId = !session.options.changeId && !session.options.expected;
    Revision current;
    if (!session.options.expected) {
        const auto version = session.client.version(std::nullopt);
        if (!version)
            return reportError(session, version.error());
        if (isDerivedId && version->revision != Revision(0) && version->content == *content)
            return waitAndReport(session, version->revision, version->change);
        current = version->revision;
    }
    const ConfigChange change = makeChange(session.options, *content, current);
    const auto revision = session.client.submit(change);
    if (revision)
        return waitAndReport(session, *revision, change.id);
    if (revision.error().code == ErrorCode::Conflict)
        return reportConflict(session, change, revision.error());
    if (revision.error().code == ErrorCode::Unavailable)
        session.errors << "the outcome is unknown; submit it again with --change-id "
                       << change.id.value() << " --expected " << change.expected.value() << '\n';
    return reportError(session, revision.error());
}

} // namespace laburnum::ctl
