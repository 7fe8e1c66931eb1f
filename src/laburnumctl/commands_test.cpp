#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <laburnumroute/json.h>

#include "commands.h"
#include "exit_codes.h"
#include "standin_control_pvt.h"
#include "text_diff.h"

using namespace laburnum;
using namespace laburnum::ctl;

namespace {

const std::string content
    = "[[service]]\nname = \"a\"\nfloor_slots = 6\n[[route]]\nservice = \"a\"\n";
const std::string otherContent
    = "[[service]]\nname = \"a\"\nfloor_slots = 9\n[[route]]\nservice = \"a\"\n";

/// A file that is removed by the destructor.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : m_path((std::filesystem::temp_directory_path()
            / ("laburnumctl-" + std::to_string(std::random_device {}()) + ".toml"))
                     .string())
    {
        std::ofstream(m_path, std::ios::binary) << text;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

struct Outcome {
    int exitCode = 0;
    std::string out;
    std::string errors;
};

/// Runs laburnumctl with `arguments`; sleeping only advances a manual clock.
Outcome runCtl(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "laburnumctl");
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const auto& argument : arguments)
        argv.push_back(argument.c_str());
    const auto options = parseOptions(static_cast<int>(argv.size()), argv.data());
    if (!options)
        return { ExitUsage, "", options.error().message };
    ManualClock clock;
    std::ostringstream out;
    std::ostringstream errors;
    const int exitCode
        = runCommand(*options, out, errors, { clock, [&](Duration d) { clock.advance(d); } });
    return { exitCode, out.str(), errors.str() };
}

Json::Value jsonOf(const Outcome& outcome)
{
    CAPTURE(outcome.out, outcome.errors);
    return parseJson(outcome.out).value();
}

} // namespace

TEST_CASE("check exits with 0, 1 or 2 and prints findings as text or JSON")
{
    const TemporaryFile clean(content);
    const TemporaryFile broken("colour = 1\n");
    REQUIRE(runCtl({ "check", clean.path() }).exitCode == ExitOk);
    const Outcome found = runCtl({ "check", broken.path() });
    REQUIRE(found.exitCode == ExitFindings);
    REQUIRE(found.out == broken.path() + ":1:1: error: unknown key 'colour'\n");
    REQUIRE(jsonOf(runCtl({ "check", "--json", broken.path() }))[0]["line"] == 1);
    REQUIRE(runCtl({ "check", "/nonexistent" }).exitCode == ExitUsage);
    for (const std::vector<std::string>& wrong : { std::vector<std::string> {}, { "check" },
             { "check", "a", "b" }, { "fly" }, { "status", "--colour" } })
        REQUIRE(runCtl(wrong).exitCode == ExitUsage);
    REQUIRE(runCtl({ "--help" }).out.find("explain METHOD HOST TARGET") != std::string::npos);
}

TEST_CASE("apply requests the revision, submits the change and waits until it is in force")
{
    StandinControl control;
    control.state().lagPolls = 3;
    const TemporaryFile file(content);
    const Outcome applied = runCtl({ "apply", file.path(), "--control", control.address() });
    CAPTURE(applied.errors);
    REQUIRE(applied.exitCode == ExitOk);
    REQUIRE(applied.out == "revision 1 is in force everywhere\n");
    REQUIRE(control.state().ledger.current().content == content);

    SECTION("a repeated run changes nothing")
    {
        REQUIRE(
            runCtl({ "apply", file.path(), "--control", control.address() }).exitCode == ExitOk);
        REQUIRE(control.state().ledger.current().revision == Revision(1));
    }
    SECTION("a conflict shows what changed")
    {
        const TemporaryFile other(otherContent);
        const Outcome refused = runCtl({ "apply", other.path(), "--control", control.address(),
            "--expected", "0", "--change-id", "late" });
        REQUIRE(refused.exitCode == ExitRefused);
        REQUIRE(refused.errors.find("revision 1 is in force") != std::string::npos);
        REQUIRE(refused.errors.find("+floor_slots = 6") != std::string::npos);
        REQUIRE(control.state().ledger.current().revision == Revision(1));
    }
    SECTION("diff compares with what is in force")
    {
        const TemporaryFile other(otherContent);
        const Outcome diff = runCtl({ "diff", other.path(), "--control", control.address() });
        REQUIRE(diff.exitCode == ExitFindings);
        REQUIRE(diff.out == "@@ -3 +3 @@\n-floor_slots = 6\n+floor_slots = 9\n");
        REQUIRE(runCtl({ "diff", file.path(), "--control", control.address() }).exitCode == ExitOk);
    }
}

TEST_CASE("a file with errors is not submitted")
{
    StandinControl control;
    const TemporaryFile broken("[[service]]\n");
    const Outcome refused = runCtl({ "apply", broken.path(), "--control", control.address() });
    REQUIRE(refused.exitCode == ExitFindings);
    REQUIRE(control.state().requests == 0);
}

TEST_CASE("apply submits the same change again after a lost response")
{
    StandinControl control;
    control.state().responsesToLose = 2;
    const TemporaryFile file(content);
    const Outcome applied = runCtl({ "apply", file.path(), "--control", control.address() });
    CAPTURE(applied.errors);
    REQUIRE(applied.exitCode == ExitOk);
    REQUIRE(control.state().ledger.current().revision == Revision(1));
    REQUIRE(control.state().submissions == 3);
}

TEST_CASE("control hosts are tried in order until one answers")
{
    StandinControl control;
    const std::string gone = "http://" + formatEndpoint(freeEndpoint());
    const TemporaryFile file(content);
    const Outcome applied
        = runCtl({ "apply", file.path(), "--control", gone, "--control", control.address() });
    CAPTURE(applied.errors);
    REQUIRE(applied.exitCode == ExitOk);
    const Outcome unreachable = runCtl({ "status", "--control", gone, "--json" });
    REQUIRE(unreachable.exitCode == ExitUnreachable);
    REQUIRE(jsonOf(unreachable)["error"] == "unavailable");
}

// Guards against a broken response that is taken for an answer or a refusal of the control host.
TEST_CASE("a control host that responds with an invalid response has not answered")
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    const auto response = GENERATE_COPY(values<std::string>({
        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 20 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 0200 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 103 X\r\n\r\n" + sound + "[]",
        "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 -200 X\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nX\001Bad: 1\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nX\177Bad: 1\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nX\xe9: 1\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n[]",
        "HTTP/1.1 409 Conflict\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n",
        "HTTP/1.1 200 OK\r\n\r\n[{\"revision\": 1",
        sound.substr(0, 17),
        "",
    }));
    const bool isReset = GENERATE(false, true);
    CAPTURE(response, isReset);
    FaultyControl faulty(response, isReset);
    StandinControl control;
    const Outcome moved
        = runCtl({ "history", "--control", faulty.address(), "--control", control.address() });
    CHECK(moved.exitCode == ExitOk);
    CHECK(control.state().requests == 1);
    CHECK(runCtl({ "history", "--control", faulty.address() }).exitCode == ExitUnreachable);
    CHECK(runCtl({ "drain", "a-1", "--control", faulty.address() }).exitCode == ExitUnreachable);
}

TEST_CASE("apply with an unknown outcome prints how to submit it again")
{
    StandinControl control;
    control.state().responsesToLose = 1'000'000;
    const TemporaryFile file(content);
    const Outcome lost = runCtl({ "apply", file.path(), "--control", control.address() });
    REQUIRE(lost.exitCode == ExitUnreachable);
    REQUIRE(lost.errors.find("--change-id auto-") != std::string::npos);
    REQUIRE(lost.errors.find("--expected 0") != std::string::npos);
}

TEST_CASE("apply names hosts that lag or are out of reach")
{
    StandinControl control;
    control.state().lagPolls = 1'000'000;
    control.state().deadHost = true;
    const TemporaryFile file(content);
    const Outcome applied
        = runCtl({ "apply", file.path(), "--control", control.address(), "--wait", "5" });
    REQUIRE(applied.exitCode == ExitLagging);
    REQUIRE(applied.out.find("lags: slow\n") != std::string::npos);
    REQUIRE(applied.out.find("out of reach: dead\n") != std::string::npos);
    const Outcome again
        = runCtl({ "apply", file.path(), "--control", control.address(), "--json" });
    REQUIRE(jsonOf(again)["lagging"][0] == "slow");
}

TEST_CASE("requests are signed with the key, and a wrong key is refused")
{
    const TemporaryFile keyFile(std::string(64, 'k'));
    const TemporaryFile otherKey(std::string(64, 'o'));
    for (const auto* file : { &keyFile, &otherKey })
        std::filesystem::permissions(file->path(), std::filesystem::perms::owner_read);
    StandinControl control(readKeyFile(keyFile.path()).value());
    REQUIRE(runCtl({ "status", "--control", control.address(), "--key", keyFile.path() }).exitCode
        == ExitOk);
    const Outcome refused
        = runCtl({ "status", "--control", control.address(), "--key", otherKey.path() });
    REQUIRE(refused.exitCode == ExitRefused);
    REQUIRE(refused.errors.find("signature does not match") != std::string::npos);
    REQUIRE(runCtl({ "status", "--control", control.address() }).exitCode == ExitRefused);
    std::filesystem::permissions(keyFile.path(), std::filesystem::perms(0644));
    const Outcome open
        = runCtl({ "status", "--control", control.address(), "--key", keyFile.path() });
    REQUIRE(open.exitCode == ExitUsage);
    REQUIRE(open.errors.find("chmod 600") != std::string::npos);
}

TEST_CASE("status, history, explain, show and drain print tables and JSON")
{
    StandinControl control;
    const std::vector<std::string> at { "--control", control.address() };
    const TemporaryFile file(content);
    const auto ctl = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), at.begin(), at.end());
        return runCtl(std::move(arguments));
    };
    ctl({ "apply", file.path(), "--change-id", "first" });
    REQUIRE(ctl({ "history" }).out == "REVISION  CHANGE\n1         first\n");
    REQUIRE(jsonOf(ctl({ "history", "--json" }))[0]["change"] == "first");
    REQUIRE(ctl({ "show" }).out == content);
    REQUIRE(ctl({ "show", "--revision", "7" }).exitCode == ExitRefused);
    REQUIRE(ctl({ "status" }).out.find("slow  1         alive") != std::string::npos);
    REQUIRE(jsonOf(ctl({ "status", "--json" }))["leader"] == "c1");
    const Outcome explained = ctl({ "explain", "GET", "a.example", "/x?q=1&r=%20" });
    REQUIRE(explained.out.find("service a: GET a.example /x?q=1&r=%20") == 0);
    REQUIRE(explained.out.find("a-1") != std::string::npos);
    REQUIRE(ctl({ "drain", "a-1" }).exitCode == ExitOk);
    REQUIRE(ctl({ "drain", "nobody" }).exitCode == ExitRefused);
    REQUIRE(control.state().drained == "a-1");
}

TEST_CASE("differences are grouped and give their line numbers")
{
    REQUIRE(diffLines("a\nb\n", "a\nb\n").empty());
    REQUIRE(diffLines("", "a\n") == "@@ -1 +1 @@\n+a\n");
    REQUIRE(
        diffLines("a\nb\nc\nd\n", "a\nx\nc\ny\nd\n") == "@@ -2 +2 @@\n-b\n+x\n@@ -4 +4 @@\n+y\n");
}

TEST_CASE(
    "trace and timeline read logs, report invalid lines and exit with 1 when they find nothing")
{
    const TemporaryFile log(R"({"kind":"attempt","reason":"answered","time_ms":5,"host":"h",)"
                            R"("id":"q","instance":"i","service":"s","status":500})"
                            "\nnoise\n"
                            R"({"kind":"request","reason":"answered","time_ms":6,"host":"h",)"
                            R"("id":"q","instance":"i","service":"s","status":500})"
                            "\n");
    const Outcome traced = runCtl({ "trace", "q", log.path() });
    REQUIRE(traced.exitCode == ExitOk);
    REQUIRE(traced.out.find("cause: instance-error: i answered 500") != std::string::npos);
    REQUIRE(traced.errors == log.path() + ":2: skipped: no JSON object\n");
    REQUIRE(jsonOf(runCtl({ "trace", "q", log.path(), "--json" }))["cause"] == "instance-error");
    REQUIRE(runCtl({ "trace", "unknown", log.path() }).exitCode == ExitFindings);
    REQUIRE(runCtl({ "trace", "q", log.path(), "/nonexistent" }).exitCode == ExitUsage);
    REQUIRE(runCtl({ "trace", "q" }).exitCode == ExitUsage);

    REQUIRE(runCtl({ "timeline", "s", log.path() }).out.find("0 i failed=1") != std::string::npos);
    REQUIRE(runCtl({ "timeline", "other", log.path() }).exitCode == ExitFindings);
    const TemporaryFile picture("");
    REQUIRE(runCtl({ "timeline", "i", log.path(), "--svg", picture.path() }).exitCode == ExitOk);
    std::ifstream drawn(picture.path());
    std::string head;
    REQUIRE(std::getline(drawn, head));
    REQUIRE(head.starts_with("<svg"));
}
