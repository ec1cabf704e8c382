// SPDX-License-Identifier: MIT
// Target prober: implementation.
#include "target_prober.h"

#include "net.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <utility>

namespace Robinrail {

TargetProber::TargetProber(boost::asio::io_context &io)
    : m_io(io)
    , m_lastTick(monotonicNow())
{
}

void TargetProber::reported(TimePoint now, const ReportedTarget &target)
{
    if (!m_schedule.reported(now, target)) {
        return;
    }
    if (target.superseded) {
        awaitSuperseded({target.key, target.born});
    } else {
        connect(target);
    }
}

void TargetProber::connect(const ReportedTarget &target)
{
    ++m_probes;
    const auto stream = std::make_shared<boost::beast::tcp_stream>(m_io);
    stream->expires_after(ProbeTimeout);
    stream->async_connect(
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(target.address.address), target.address.port),
        [this, stream, lifetime = TargetLifetime{target.key, target.born}, standstills = m_standstills](const boost::system::error_code &error) {
            ended(lifetime, standstills, error);
        });
}

// The target gets as much time to show a sign of life as it has to accept a connection.
void TargetProber::awaitSuperseded(const TargetLifetime &lifetime)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, ProbeTimeout);
    timer->async_wait([this, timer, lifetime, standstills = m_standstills](const boost::system::error_code &error) {
        tick(monotonicNow());
        m_schedule.ended(lifetime.key);
        if (!error && standstills == m_standstills) {
            m_superseded.push_back(lifetime);
        }
    });
}

void TargetProber::tick(TimePoint now)
{
    if (now - std::exchange(m_lastTick, now) >= StallThreshold) {
        ++m_standstills;
    }
}

void TargetProber::ended(const TargetLifetime &lifetime, std::uint64_t standstills, const boost::system::error_code &error)
{
    tick(monotonicNow());
    m_schedule.ended(lifetime.key);
    m_anyAnswered = m_anyAnswered || !error;
    if (error && m_anyAnswered && standstills == m_standstills) {
        m_failed.push_back({lifetime, error == boost::asio::error::connection_refused});
    }
}

std::vector<FailedProbe> TargetProber::takeFailed()
{
    return std::exchange(m_failed, {});
}

std::vector<TargetLifetime> TargetProber::takeSuperseded()
{
    return std::exchange(m_superseded, {});
}

std::uint64_t TargetProber::probes() const
{
    return m_probes;
}

} // namespace Robinrail
