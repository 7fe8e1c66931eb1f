#include <laburnumroute/log_sink.h>

#include <chrono>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace laburnum {

namespace {

    log4cxx::AppenderPtr makeWriter(const std::string& file)
    {
        const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
        if (file.empty())
            return std::make_shared<log4cxx::ConsoleAppender>(layout);
        return std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }

    std::int64_t wallClockMillis()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    /// Hands lines to log4cxx's asynchronous appender.
    class LogSink final : public DecisionLog {
    public:
        LogSink(HostId host, const std::string& file)
            : m_host(std::move(host))
            , m_async(std::make_shared<log4cxx::AsyncAppender>())
            , m_logger(log4cxx::Logger::getLogger("decisions"))
        {
            m_async->setBlocking(false);
            m_async->addAppender(makeWriter(file));
            m_logger->setAdditivity(false);
            m_logger->removeAllAppenders();
            m_logger->addAppender(m_async);
            m_logger->setLevel(log4cxx::Level::getInfo());
        }

        ~LogSink() override
        {
            m_logger->removeAllAppenders();
            m_async->close();
        }

        LogSink(const LogSink&) = delete;
        LogSink& operator=(const LogSink&) = delete;

        void record(const Decision& decision) override
        {
            Decision stamped = decision;
            stamped.facts["host"] = m_host.value();
            stamped.facts["time_ms"] = Json::Int64(wallClockMillis());
            m_logger->info(formatDecision(stamped));
        }

    private:
        HostId m_host;
        std::shared_ptr<log4cxx::AsyncAppender> m_async;
        log4cxx::LoggerPtr m_logger;
    };

} // namespace

std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file)
{
    return std::make_unique<LogSink>(host, file);
}

} // namespace laburnum
