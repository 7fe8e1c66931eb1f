/// Reloads the settings file of a seeded host while it runs.
#pragma once

#include <functional>
#include <string>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/decision.h>

#include "seeded_settings.h"

namespace laburnum {

/// Rereads the file on SIGHUP and when polling finds that its content changed, and passes the
/// settings to `onChange`. A file with errors is ignored; its findings are logged.
class SettingsWatcher {
public:
    using OnChange = std::function<void(const SeededSettings&)>;

    SettingsWatcher(
        asio::io_context& context, std::string path, DecisionLog& log, OnChange onChange);
    void start();

private:
    void awaitSignal();
    void awaitTimer();
    void reload(const char* cause);
    std::string readContent() const;

    std::string m_path;
    DecisionLog& m_log;
    OnChange m_onChange;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::string m_lastContent;
};

} // namespace laburnum
