// SPDX-License-Identifier: MIT
// Packet loss: counts and logs the packets that this host's kernel dropped before they were received or sent.
#pragma once

#include "log.h"
#include "log_rate_limiter.h"
#include "metrics.h"

namespace Robinrail {

class PacketLoss
{
public:
    // The receive queue had no room for these packets.
    void countReceiveDrops(TimePoint now, std::uint64_t packets)
    {
        m_receiveDrops += packets;
        if (const auto leftOut = m_receiveLog.take(now)) {
            LogLine(LogLevel::Warning, "receive-queue-full").with("dropped", packets).with("total", m_receiveDrops).with("left-out", *leftOut);
        }
    }

    // The kernel refused to send a packet.
    void countSendFailure(TimePoint now, int error)
    {
        ++m_sendFailures;
        if (const auto leftOut = m_sendLog.take(now)) {
            LogLine(LogLevel::Warning, "send-failed").with("errno", error).with("total", m_sendFailures).with("left-out", *leftOut);
        }
    }

    // The kernel does not report the drops of the receive queue, so their counter stays 0.
    static void logUnsupported()
    {
        LogLine(LogLevel::Warning, "receive-drops-not-reported");
    }

    void writeMetrics(PrometheusWriter &text) const
    {
        text.counter("robinrail_receive_drops_total", "Packets that the receive queue had no room for", static_cast<double>(m_receiveDrops));
        text.counter("robinrail_send_failures_total", "Packets that the kernel refused", static_cast<double>(m_sendFailures));
    }

private:
    std::uint64_t m_receiveDrops = 0;
    std::uint64_t m_sendFailures = 0;
    LogRateLimiter m_receiveLog;
    LogRateLimiter m_sendLog;
};

} // namespace Robinrail
