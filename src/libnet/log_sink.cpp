#include <laburnumroute/log_sink.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <iostream>
#include <mutex>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/logger.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/log_rate_limiter.h>

namespace laburnum {

namespace {

    /// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
    constexpr std::size_t pieceBytes = 4096;
    /// How often a writer without a reader looks whether the log is being closed.
    constexpr int pollMillis = 50;
    /// A process that ends writes what waits for so long at the most.
    constexpr auto closingTime = std::chrono::milliseconds(250);

    std::int64_t wallClockMillis()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    /// What the callers of record() and the writer share.
    struct Traffic {
        std::atomic<std::size_t> waiting = 0;
        std::atomic<std::uint64_t> dropped = 0;
        std::atomic<bool> closing = false;
    };

    /// Writes to a descriptor without ever blocking in the write itself.
    class DescriptorWriter {
    public:
        DescriptorWriter(int descriptor, const Traffic& traffic)
            : m_descriptor(descriptor)
            , m_traffic(traffic)
        {
        }

        /// False when the line could not be written whole.
        bool write(std::string_view bytes)
        {
            while (!bytes.empty()) {
                if (!waitWritable())
                    return false;
                const auto count
                    = ::write(m_descriptor, bytes.data(), std::min(bytes.size(), pieceBytes));
                if (count < 0 && errno != EINTR && errno != EAGAIN)
                    return false;
                bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            }
            return true;
        }

    private:
        bool waitWritable()
        {
            pollfd wanted { m_descriptor, POLLOUT, 0 };
            while (true) {
                const bool late = m_traffic.closing && pastClosingTime();
                if (::poll(&wanted, 1, late ? 0 : pollMillis) > 0)
                    return (wanted.revents & POLLOUT) != 0;
                if (late)
                    return false;
            }
        }

        bool pastClosingTime()
        {
            const auto now = std::chrono::steady_clock::now();
            if (m_closingSince == std::chrono::steady_clock::time_point())
                m_closingSince = now;
            return now - m_closingSince > closingTime;
        }

        int m_descriptor;
        const Traffic& m_traffic;
        std::chrono::steady_clock::time_point m_closingSince {};
    };

} // namespace

// The macros of log4cxx name these.
namespace helpers = log4cxx::helpers;
using log4cxx::LogString;

/// log4cxx's end of the log; runs on the asynchronous appender's thread.
class LineAppender final : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(LineAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(LineAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    LineAppender() = default;

    void connect(int descriptor, Traffic& traffic, std::string host)
    {
        m_traffic = &traffic;
        m_writer = std::make_unique<DescriptorWriter>(descriptor, traffic);
        m_host = std::move(host);
    }

    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& /*p*/) override
    {
        --m_traffic->waiting;
        if (!m_writer->write(event->getMessage() + "\n")) {
            ++m_traffic->dropped;
            return;
        }
        tellDropped();
    }

    void close() override { }
    bool requiresLayout() const override { return false; }

private:
    void tellDropped()
    {
        const std::uint64_t dropped = m_traffic->dropped;
        if (dropped == m_told)
            return;
        Decision line { "log-volume", "dropped" };
        line.facts["lines"] = Json::UInt64(dropped - m_told);
        line.facts["host"] = m_host;
        line.facts["time_ms"] = Json::Int64(wallClockMillis());
        if (m_writer->write(formatDecision(line) + "\n"))
            m_told = dropped;
    }

    Traffic* m_traffic = nullptr;
    std::unique_ptr<DescriptorWriter> m_writer;
    std::string m_host;
    std::uint64_t m_told = 0;
};

namespace {

    /// Admits lines and hands them to log4cxx's asynchronous appender.
    class LogSink final : public DecisionLog {
    public:
        LogSink(HostId host, int descriptor)
            : m_host(std::move(host))
            , m_descriptor(descriptor)
            , m_async(std::make_shared<log4cxx::AsyncAppender>())
            , m_logger(log4cxx::Logger::getLogger("decisions"))
        {
            const auto writer = std::make_shared<LineAppender>();
            writer->connect(descriptor, m_traffic, m_host.value());
            // Never full: record() admits fewer lines.
            m_async->setBufferSize(static_cast<int>(2 * maxQueuedLogLines));
            m_async->setBlocking(false);
            m_async->addAppender(writer);
            m_logger->setAdditivity(false);
            m_logger->removeAllAppenders();
            m_logger->addAppender(m_async);
            m_logger->setLevel(log4cxx::Level::getInfo());
        }

        ~LogSink() override
        {
            m_traffic.closing = true;
            m_logger->removeAllAppenders();
            m_async->close();
            if (m_descriptor != STDOUT_FILENO)
                ::close(m_descriptor);
        }

        LogSink(const LogSink&) = delete;
        LogSink& operator=(const LogSink&) = delete;

        void record(const Decision& decision) override
        {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = m_clock.now();
            for (const Decision& summary : m_volume.summaries(now))
                write(summary);
            if (m_volume.admit(decision, now))
                write(decision);
        }

        std::uint64_t dropped() const override { return m_traffic.dropped; }

    private:
        void write(const Decision& decision)
        {
            const std::size_t limit
                = decision.alwaysLog ? maxQueuedLogLines : maxQueuedOrdinaryLogLines;
            if (m_traffic.waiting >= limit) {
                ++m_traffic.dropped;
                return;
            }
            ++m_traffic.waiting;
            Decision stamped = decision;
            stamped.facts["host"] = m_host.value();
            stamped.facts["time_ms"] = Json::Int64(wallClockMillis());
            m_logger->info(formatDecision(stamped));
        }

        HostId m_host;
        int m_descriptor;
        SteadyClock m_clock;
        /// Guards m_volume; the innermost lock of a thread that logs.
        std::mutex m_mutex;
        LogRateLimiter m_volume;
        Traffic m_traffic;
        std::shared_ptr<log4cxx::AsyncAppender> m_async;
        log4cxx::LoggerPtr m_logger;
    };

    int openTarget(const std::string& file)
    {
        if (file.empty())
            return STDOUT_FILENO;
        constexpr int readableByAll = 0644;
        const int opened
            = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, readableByAll);
        if (opened >= 0)
            return opened;
        std::cerr << "laburnumd: " << file << ": " << std::strerror(errno)
                  << "; the log goes to standard output\n";
        return STDOUT_FILENO;
    }

} // namespace

std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file)
{
    std::signal(SIGPIPE, SIG_IGN);
    return std::make_unique<LogSink>(host, openTarget(file));
}

} // namespace laburnum

// Registers the appender's class; the macro opens a namespace of its own.
using laburnum::LineAppender;
IMPLEMENT_LOG4CXX_OBJECT(LineAppender)
