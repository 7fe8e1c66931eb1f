#include <catch2/catch.hpp>

#include <array>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <laburnumroute/json.h>
#include <laburnumroute/log_sink.h>

#include "fakes/temporary_folder.h"

using namespace laburnum;
using namespace laburnum::fakes;

namespace {

/// A named pipe in a folder of its own, open for reading.
class Pipe {
public:
    Pipe()
    {
        REQUIRE(::mkfifo(path().c_str(), 0600) == 0);
        m_reader = ::open(path().c_str(), O_RDONLY | O_NONBLOCK);
        REQUIRE(m_reader >= 0);
    }
    ~Pipe() { closeReader(); }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    std::string path() const { return m_folder.path() + "/log"; }

    void closeReader()
    {
        if (m_reader >= 0)
            ::close(m_reader);
        m_reader = -1;
    }

    /// Reads until `lineCount` lines arrived. Each must be valid JSON.
    std::vector<Json::Value> read(std::size_t lineCount)
    {
        ::fcntl(m_reader, F_SETFL, 0);
        std::vector<Json::Value> lines;
        std::string text;
        std::array<char, 65536> buffer {};
        while (lines.size() < lineCount) {
            const auto count = ::read(m_reader, buffer.data(), buffer.size());
            REQUIRE(count > 0);
            text.append(buffer.data(), static_cast<std::size_t>(count));
            std::size_t end = 0;
            while ((end = text.find('\n')) != std::string::npos) {
                auto line = parseJson(text.substr(0, end));
                REQUIRE(line);
                lines.push_back(std::move(*line));
                text.erase(0, end + 1);
            }
        }
        return lines;
    }

private:
    TemporaryFolder m_folder;
    int m_reader = -1;
};

Decision failedRequest(int number)
{
    Decision decision { "request", "no-answer" };
    decision.facts["id"] = number;
    decision.facts["filling"] = std::string(200, 'x');
    decision.alwaysLog = true;
    return decision;
}

} // namespace

TEST_CASE("a reader that does not read blocks no caller, and dropped lines are counted")
{
    Pipe pipe;
    auto log = openDecisionLog(HostId("h"), pipe.path());
    constexpr int written = 3 * static_cast<int>(maxQueuedLogLines);
    for (int i = 0; i < written; ++i)
        log->record(failedRequest(i));
    const std::uint64_t dropped = log->dropped();
    REQUIRE(dropped > 0);
    REQUIRE(dropped <= written - maxQueuedLogLines);

    // Once the reader reads again, it gets the queued lines in order and the number of dropped
    // ones.
    const auto lines = pipe.read(written - dropped + 1);
    std::uint64_t reportedDropped = 0;
    int next = 0;
    for (const auto& line : lines) {
        REQUIRE(line["host"] == "h");
        if (line["kind"] == "log-volume") {
            REQUIRE(line["reason"] == "dropped");
            reportedDropped += line["lines"].asUInt64();
        } else {
            REQUIRE(line["id"].asInt() >= next);
            next = line["id"].asInt() + 1;
        }
    }
    REQUIRE(reportedDropped == dropped);
    log.reset();
}

TEST_CASE("ordinary lines are dropped before lines that explain failed requests")
{
    Pipe pipe;
    auto log = openDecisionLog(HostId("h"), pipe.path());
    for (int i = 0; i < static_cast<int>(maxQueuedLogLines); ++i) {
        Decision ordinary { "request", "answered-" + std::to_string(i / 50) };
        ordinary.facts["filling"] = std::string(200, 'x');
        log->record(ordinary);
    }
    const std::uint64_t droppedBefore = log->dropped();
    REQUIRE(droppedBefore > 0);
    for (int i = 0; i < static_cast<int>(maxQueuedOrdinaryLogLines) / 2; ++i)
        log->record(failedRequest(i));
    REQUIRE(log->dropped() == droppedBefore);
    // Closing ends after the flush timeout although the pipe is not read.
    log.reset();
}

TEST_CASE("a reader that closes the pipe does not terminate the process")
{
    Pipe pipe;
    auto log = openDecisionLog(HostId("h"), pipe.path());
    pipe.closeReader();
    for (int i = 0; i < 100; ++i)
        log->record(failedRequest(i));
    log.reset();
    SUCCEED();
}
