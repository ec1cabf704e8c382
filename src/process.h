// SPDX-License-Identifier: MIT
// Process: signal handling and settings reload of a daemon that is configured by the platform it runs on.
#pragma once

#include "settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Robinrail {

// Interval at which the settings file is read again, as it may change without a signal.
inline constexpr std::chrono::seconds SettingsPollInterval{2};

class ProcessControl
{
public:
    // Calls `stop` on SIGTERM or SIGINT. Calls `reload` with the new settings if the file, read again on SIGHUP and
    // periodically, is valid and lists other seeds.
    ProcessControl(boost::asio::io_context &io,
                   std::filesystem::path path,
                   std::vector<Endpoint> seeds,
                   std::function<void()> stop,
                   std::function<void(const SteeringSettings &)> reload);

private:
    void waitForSignal();
    void pollSettings();
    void reloadSettings();

    std::filesystem::path m_path;
    std::vector<Endpoint> m_seeds; // The only setting that can change at run time.
    std::function<void()> m_stop;
    std::function<void(const SteeringSettings &)> m_reload;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
};

} // namespace Robinrail
