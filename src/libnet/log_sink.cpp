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

    /// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
    constexpr std::size_t maxWriteBytes = 4096;
    /// Interval at which a blocked writer checks whether the log is being closed.
    constexpr int pollIntervalMs = 50;
    /// Longest time that closing the log spends on writing queued lines.
    constexpr auto shutdownFlushTimeout = std::chrono::milliseconds(250);

    std::int64_t wallClockMillis()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    /// State shared by the callers of record() and the writer thread.
    struct QueueState {
        std::atomic<std::size_t> queuedLines = 0;
        std::atomic<std::uint64_t> dropped = 0;
        std::atomic<bool> closing = false;
    };

    /// Writes to a descriptor without blocking in write().
    class DescriptorWriter {
    public:
        DescriptorWriter(int descriptor, const QueueState& queueState)
            : m_descriptor(descriptor)
            , m_queueState(queueState)
        {
        }

        /// Returns false when `bytes` could not be written completely.
        bool write(std::string_view bytes)
        {
            while (!bytes.empty()) {
                if (!waitWritable())
                    return false;
                const auto count
                    = ::write(m_descriptor, bytes.data(), std::min(bytes.size(), maxWriteBytes));
                if (count < 0 && errno != EINTR && errno != EAGAIN)
                    return false;
                bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            }
            return true;
        }

    private:
        bool waitWritable()
        {
            pollfd pollRequest { m_descriptor, POLLOUT, 0 };
            while (true) {
                const bool timedOut = m_queueState.closing && flushTimedOut();
                if (::poll(&pollRequest, 1, timedOut ? 0 : pollIntervalMs) > 0)
                    return (pollRequest.revents & POLLOUT) != 0;
                if (timedOut)
                    return false;
            }
        }

        bool flushTimedOut()
        {
            const auto now = std::chrono::steady_clock::now();
            if (m_flushStart == std::chrono::steady_clock::time_point())
                m_flushStart = now;
            return now - m_flushStart > shutdownFlushTimeout;
        }

        int m_descriptor;
        const QueueState& m_queueState;
        std::chrono::steady_clock::time_point m_flushStart {};
    };

} // namespace

// Referred to by the log4cxx macros below.
namespace helpers = log4cxx::helpers;
using log4cxx::LogString;

/// Appender that writes each event as a line. Called on the thread of the AsyncAppender.
class LineAppender final : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(LineAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(LineAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    LineAppender() = default;

    void connect(int descriptor, QueueState& queueState, std::string host)
    {
        m_queueState = &queueState;
        m_writer = std::make_unique<DescriptorWriter>(descriptor, queueState);
        m_host = std::move(host);
    }

    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& /*p*/) override
    {
        --m_queueState->queuedLines;
        if (!m_writer->write(event->getMessage() + "\n")) {
            ++m_queueState->dropped;
            return;
        }
        reportDropped();
    }

    void close() override { }
    bool requiresLayout() const override { return false; }

private:
    void reportDropped()
    {
        const std::uint64_t dropped = m_queueState->dropped;
        if (dropped == m_reportedDropped)
            return;
        Decision line { "log-volume", "dropped" };
        line.facts["lines"] = Json::UInt64(dropped - m_reportedDropped);
        line.facts["host"] = m_host;
        line.facts["time_ms"] = Json::Int64(wallClockMillis());
        if (m_writer->write(formatDecision(line) + "\n"))
            m_reportedDropped = dropped;
    }

    QueueState* m_queueState = nullptr;
    std::unique_ptr<DescriptorWriter> m_writer;
    std::string m_host;
    std::uint64_t m_reportedDropped = 0;
};

namespace {

    /// Limits the lines and passes them to log4cxx's asynchronous appender.
    class LogSink final : public DecisionLog {
    public:
        LogSink(HostId host, int descriptor)
            : m_host(std::move(host))
            , m_descriptor(descriptor)
            , m_async(std::make_shared<log4cxx::AsyncAppender>())
            , m_logger(log4cxx::Logger::getLogger("decisions"))
        {
            const auto writer = std::make_shared<LineAppender>();
            writer->connect(descriptor, m_queueState, m_host.value());
            // Never full, because write() queues at most maxQueuedLogLines lines.
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
            m_queueState.closing = true;
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
            for (const Decision& summary : m_rateLimiter.summaries(now))
                write(summary);
            if (m_rateLimiter.admit(decision, now))
                write(decision);
        }

        std::uint64_t dropped() const override { return m_queueState.dropped; }

    private:
        void write(const Decision& decision)
        {
            const std::size_t limit
                = decision.alwaysLog ? maxQueuedLogLines : maxQueuedOrdinaryLogLines;
            if (m_queueState.queuedLines >= limit) {
                ++m_queueState.dropped;
                return;
            }
            ++m_queueState.queuedLines;
            Decision stamped = decision;
            stamped.facts["host"] = m_host.value();
            stamped.facts["time_ms"] = Json::Int64(wallClockMillis());
            m_logger->info(formatDecision(stamped));
        }

        HostId m_host;
        int m_descriptor;
        SteadyClock m_clock;
        /// Guards m_rateLimiter. Innermost lock: threads that log may hold others.
        std::mutex m_mutex;
        LogRateLimiter m_rateLimiter;
        QueueState m_queueState;
        std::shared_ptr<log4cxx::AsyncAppender> m_async;
        log4cxx::LoggerPtr m_logger;
    };

    int openLogFile(const std::string& file)
    {
        if (file.empty())
            return STDOUT_FILENO;
        constexpr int logFileMode = 0644;
        const int opened
            = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFileMode);
        if (opened >= 0)
            return opened;
        std::cerr << "laburnumd: " << file << ": " << std::strerror(errno)
                  << "; logging to standard output instead\n";
        return STDOUT_FILENO;
    }

} // namespace

std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file)
{
    std::signal(SIGPIPE, SIG_IGN);
    return std::make_unique<LogSink>(host, openLogFile(file));
}

} // namespace laburnum

// Registers the appender class. The macro opens a namespace, so it must be used at global scope.
using laburnum::LineAppender;
IMPLEMENT_LOG4CXX_OBJECT(LineAppender)
