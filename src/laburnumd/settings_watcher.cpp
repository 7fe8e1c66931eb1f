#include "settings_watcher.h"

#include <csignal>
#include <fstream>
#include <sstream>

namespace laburnum {

namespace {

    /// Interval at which the file is compared with the content last read.
    constexpr auto pollInterval = std::chrono::seconds(3);

} // namespace

SettingsWatcher::SettingsWatcher(
    asio::io_context& context, std::string path, DecisionLog& log, OnChange onChange)
    : m_path(std::move(path))
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_signals(context, SIGHUP)
    , m_timer(context)
    , m_lastContent(readContent())
{
}

void SettingsWatcher::start()
{
    awaitSignal();
    awaitTimer();
}

std::string SettingsWatcher::readContent() const
{
    std::ifstream file(m_path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void SettingsWatcher::awaitSignal()
{
    m_signals.async_wait([this](std::error_code code, int) {
        if (code)
            return;
        reload("signal");
        awaitSignal();
    });
}

void SettingsWatcher::awaitTimer()
{
    m_timer.expires_after(pollInterval);
    m_timer.async_wait([this](std::error_code code) {
        if (code)
            return;
        if (readContent() != m_lastContent)
            reload("file");
        awaitTimer();
    });
}

void SettingsWatcher::reload(const char* cause)
{
    m_lastContent = readContent();
    Findings findings;
    const auto settings = readSeededFile(m_path, findings);
    Decision decision { "reload", settings && !findings.hasErrors() ? "done" : "refused" };
    decision.facts["cause"] = cause;
    for (const auto& finding : findings.sorted())
        decision.facts["findings"].append(formatFinding(finding));
    m_log.record(decision);
    if (settings && !findings.hasErrors())
        m_onChange(*settings);
}

} // namespace laburnum
