// SPDX-License-Identifier: MIT
// Process: implementation.
#include "process.h"

#include "log.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>

namespace Robinrail {

namespace leaf = boost::leaf;

ProcessControl::ProcessControl(boost::asio::io_context &io,
                               std::filesystem::path path,
                               std::vector<Endpoint> seeds,
                               std::function<void()> stop,
                               std::function<void(const SteeringSettings &)> reload)
    : m_path(std::move(path))
    , m_seeds(std::move(seeds))
    , m_stop(std::move(stop))
    , m_reload(std::move(reload))
    , m_signals(io, SIGINT, SIGTERM, SIGHUP)
    , m_timer(io)
{
    waitForSignal();
    pollSettings();
}

void ProcessControl::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        LogLine(LogLevel::Info, "signal").with("number", signal);
        if (signal == SIGHUP) {
            reloadSettings();
        } else {
            m_stop();
        }
        waitForSignal();
    });
}

void ProcessControl::pollSettings()
{
    m_timer.expires_after(SettingsPollInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reloadSettings();
            pollSettings();
        }
    });
}

// Keeps the settings in use if the file is unreadable or invalid, as it may be in the middle of being replaced.
void ProcessControl::reloadSettings()
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(file, loadSteeringSettings(m_path));
            if (file.seeds != m_seeds) {
                m_seeds = file.seeds;
                m_reload(file);
            }
            return {};
        },
        [](const SettingsFault &fault) {
            LogLine(LogLevel::Warning, "settings-not-reloaded").with("reason", fault.text());
        },
        [](const leaf::error_info &info) {
            LogLine(LogLevel::Warning, "settings-not-reloaded").with("reason", "error without context").with("error", info.error().value());
        });
}

} // namespace Robinrail
