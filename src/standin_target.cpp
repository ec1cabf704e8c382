// SPDX-License-Identifier: MIT
// Stand-in target: a server of requests and feeds. SIGUSR1 starts its drain; SIGTERM or SIGINT writes the report and ends it.
#include "settings.h"
#include "standin.h"
#include "standin_common.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <csignal>
#include <map>
#include <memory>

namespace Robinrail {

namespace {

constexpr std::chrono::seconds AnnounceInterval{1};

// New work that arrives later than this after the first draining announcement is counted as late.
constexpr Duration DrainGrace = std::chrono::seconds(3);

class StandinTarget
{
public:
    StandinTarget(boost::asio::io_context &io, const StandinTargetOptions &options)
        : m_io(io)
        , m_options(options)
        , m_endpoint(*parseEndpoint(options.listen))
        , m_fabric(*parseEndpoint(options.announceTo))
        , m_random(options.id)
        , m_socket(io,
                   m_endpoint,
                   [this](Endpoint from, BytesView bytes) {
                       handleDatagram(from, bytes);
                   })
        , m_announceTimer(io)
        , m_signals(io, SIGTERM, SIGINT, SIGUSR1)
        , m_incarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1)))
    {
        awaitSignal();
        announce();
    }

private:
    struct RunningRequest {
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct Feed {
        Endpoint balancer;
        FlowId flow{};
        std::uint64_t next = 1;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error) {
                return;
            }
            if (number != SIGUSR1) {
                finish();
                return;
            }
            m_draining = true;
            m_drainedAt = monotonicNow();
            sendAnnouncement();
            awaitSignal();
        });
    }

    void finish()
    {
        writeReport(m_options.report,
                    {{"target", m_options.id},
                     {"executed", m_executed},
                     {"lateWork", m_lateWork},
                     {"refused", m_refused},
                     {"busyMicroseconds", m_busy.count()},
                     {"service", m_options.service}});
        m_io.stop();
    }

    void announce()
    {
        sendAnnouncement();
        m_announceTimer.expires_after(AnnounceInterval);
        m_announceTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                announce();
            }
        });
    }

    void sendAnnouncement()
    {
        Announcement announcement;
        announcement.target = TargetId{m_options.id};
        announcement.service = ServiceId{m_options.service};
        announcement.dataCentre = DataCentreId{m_options.dataCentre};
        announcement.endpoint = m_endpoint;
        announcement.incarnation = Incarnation{m_incarnation};
        announcement.sequence = ++m_sequence;
        announcement.slots = m_options.slots;
        announcement.connections = m_options.connections;
        announcement.draining = m_draining;
        announcement.reportedRunning = static_cast<std::uint16_t>(m_runs.size());
        m_socket.send(m_fabric, announcement);
    }

    void handleDatagram(Endpoint from, BytesView bytes)
    {
        const std::optional<Message> message = decodeMessage<Message>(bytes);
        if (!message) {
            return;
        }
        if (const auto *run = std::get_if<RunRequest>(&*message)) {
            handleRun(from, *run);
        } else if (const auto *cancel = std::get_if<CancelRun>(&*message)) {
            m_runs.erase(cancel->attempt);
        } else if (const auto *attach = std::get_if<AttachFeed>(&*message)) {
            handleAttach(from, *attach);
        } else if (const auto *detach = std::get_if<DetachFeed>(&*message)) {
            m_feeds.erase(detach->attachment);
        }
    }

    bool isLate() const
    {
        return m_draining && monotonicNow() - m_drainedAt > DrainGrace;
    }

    void handleRun(Endpoint from, const RunRequest &run)
    {
        m_lateWork += isLate() ? 1 : 0;
        if (m_draining || m_runs.size() >= m_options.slots) {
            ++m_refused;
            m_socket.send(from, RunRefused{run.attempt});
            return;
        }
        const std::optional<StandinBody> body = decodeBody(run.body);
        if (body) {
            m_executed.push_back(requestTag(*body) + (body->repeatable ? "r" : ""));
        }
        boost::random::exponential_distribution<double> distribution(1.0 / m_options.serviceMs);
        constexpr int Shortest = 1;
        const std::chrono::milliseconds took(Shortest + static_cast<int>(distribution(m_random)));
        m_busy += took;
        auto timer = std::make_unique<boost::asio::steady_timer>(m_io, took);
        timer->async_wait([this, from, attempt = run.attempt, body](const boost::system::error_code &error) {
            if (!error) {
                answer(from, attempt, body.value_or(StandinBody{}));
            }
        });
        m_runs[run.attempt] = {std::move(timer)};
    }

    void answer(Endpoint from, const AttemptKey &attempt, StandinBody body)
    {
        const auto count = static_cast<std::uint16_t>(m_options.parts);
        for (std::uint16_t part = 0; part < count; ++part) {
            body.part = part;
            m_socket.send(from, RunPart{attempt, part, count, encodeBody(body)});
        }
        m_runs.erase(attempt);
    }

    void handleAttach(Endpoint from, const AttachFeed &attach)
    {
        const auto known = m_feeds.find(attach.attachment);
        m_lateWork += known == m_feeds.end() && isLate() ? 1 : 0;
        if (known == m_feeds.end() && (m_draining || m_feeds.size() >= m_options.connections)) {
            return;
        }
        Feed &feed = m_feeds[attach.attachment];
        feed.balancer = from;
        feed.flow = attach.flow;
        feed.next = attach.nextSequence;
        m_socket.send(from, FeedAttached{attach.attachment, attach.flow});
        if (!feed.timer) {
            feed.timer = std::make_unique<boost::asio::steady_timer>(m_io);
            pushFeedItem(attach.attachment);
        }
    }

    void pushFeedItem(const AttemptKey &attachment)
    {
        const auto at = m_feeds.find(attachment);
        if (at == m_feeds.end()) {
            return;
        }
        Feed &feed = at->second;
        StandinBody body;
        body.number = static_cast<std::uint32_t>(feed.next);
        m_socket.send(feed.balancer, FeedPush{attachment, feed.flow, feed.next, encodeBody(body)});
        ++feed.next;
        feed.timer->expires_after(std::chrono::milliseconds(m_options.feedMs));
        feed.timer->async_wait([this, attachment](const boost::system::error_code &error) {
            if (!error) {
                pushFeedItem(attachment);
            }
        });
    }

    boost::asio::io_context &m_io;
    StandinTargetOptions m_options;
    Endpoint m_endpoint;
    Endpoint m_fabric;
    boost::random::mt19937 m_random;
    DatagramSocket m_socket;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::signal_set m_signals;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    bool m_draining = false;
    TimePoint m_drainedAt;
    std::map<AttemptKey, RunningRequest> m_runs;
    std::map<AttemptKey, Feed> m_feeds;
    std::vector<std::string> m_executed;
    int m_lateWork = 0;
    int m_refused = 0;
    std::chrono::microseconds m_busy{};
};

} // namespace

int runStandinTarget(const StandinTargetOptions &options)
{
    boost::asio::io_context io;
    const StandinTarget target(io, options);
    io.run();
    return 0;
}

} // namespace Robinrail
