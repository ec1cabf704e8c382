// SPDX-License-Identifier: MIT
// Process: signals and the settings file of a daemon that is configured by the platform it runs on.
#pragma once

#include "settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Robinrail {

// The settings file is looked at this often, as it may change without a signal.
inline constexpr std::chrono::seconds SettingsPollInterval{2};

class ProcessControl
{
public:
    // `stop` runs at SIGTERM or SIGINT; `reload` gets new settings that were checked and differ.
    ProcessControl(boost::asio::io_context &io,
                   std::filesystem::path path,
                   std::vector<Endpoint> seeds,
                   std::function<void()> stop,
                   std::function<void(const SteeringSettings &)> reload);

private:
    void awaitSignal();
    void poll();
    void load();

    std::filesystem::path m_path;
    std::vector<Endpoint> m_seeds; // The part of the settings that may change.
    std::function<void()> m_stop;
    std::function<void(const SteeringSettings &)> m_reload;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
};

} // namespace Robinrail
