/// Notices that the settings file changed, with a signal or without.
#pragma once

#include <functional>
#include <string>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/decision.h>

#include "seeded_settings.h"

namespace laburnum {

/// Reads the file anew on SIGHUP and when its content changed. A file with findings changes
/// nothing; the findings are logged.
class SettingsWatcher {
public:
    using OnChange = std::function<void(const SeededSettings&)>;

    SettingsWatcher(asio::io_context& context, std::string path, DecisionLog& log, OnChange onChange);
    void start();

private:
    void awaitSignal();
    void awaitTimer();
    void reload(const char* cause);
    std::string content() const;

    std::string m_path;
    DecisionLog& m_log;
    OnChange m_onChange;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::string m_content;
};

} // namespace laburnum
