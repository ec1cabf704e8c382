// SPDX-License-Identifier: MIT
// Stand-in callers: some with a feed, the others with requests to both services, each on its own loopback address.
#include "caller_session.h"
#include "metrics.h"
#include "settings.h"
#include "standin.h"
#include "standin_common.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <csignal>
#include <memory>

namespace Robinrail {

namespace {

constexpr std::chrono::milliseconds StepInterval{10};
constexpr Duration RequestDeadline = std::chrono::seconds(2);
constexpr std::uint32_t CallerNetwork = 0x7f020000; // 127.2.0.0

// A feed that delivered nothing for this long is counted as broken, even if it recovers later.
constexpr Duration BrokenFeedTimeout = std::chrono::seconds(8);

// A flow with its session and socket.
struct CallerFlow {
    std::uint32_t caller = 0;
    bool feed = false;
    bool repeatable = false;
    Endpoint service;
    std::unique_ptr<CallerSession> session;
    std::unique_ptr<DatagramSocket> socket;
    TimePoint nextRequest;
    std::uint64_t feedItems = 0;
    Duration longestStall{};
    bool wrongItem = false;
    std::map<RequestId, StandinBody> openRequests;
};

class StandinCallers
{
public:
    StandinCallers(boost::asio::io_context &io, const StandinCallerOptions &options)
        : m_io(io)
        , m_options(options)
        , m_random(options.seed)
        , m_timer(io)
        , m_signals(io, SIGTERM, SIGINT)
        , m_end(monotonicNow() + std::chrono::seconds(options.seconds))
    {
        std::uint32_t caller = 0;
        for (int i = 0; i < options.feeds; ++i) {
            add(++caller, *parseEndpoint(options.rateDesk), true, false);
        }
        for (int i = 0; i < options.clients; ++i) {
            ++caller;
            add(caller, *parseEndpoint(options.rateDesk), false, false);
            add(caller, *parseEndpoint(options.docVault), false, true);
        }
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                m_end = monotonicNow();
            }
        });
        step();
    }

private:
    void add(std::uint32_t caller, Endpoint service, bool feed, bool repeatable)
    {
        auto flow = std::make_unique<CallerFlow>();
        flow->caller = caller;
        flow->service = service;
        flow->feed = feed;
        flow->repeatable = repeatable;
        flow->session = std::make_unique<CallerSession>(m_flows.size() + 1, feed);
        flow->socket = std::make_unique<DatagramSocket>(m_io, Endpoint{CallerNetwork + caller, 0}, [this, at = flow.get()](Endpoint, BytesView bytes) {
            if (const auto message = decodeMessage<Message>(bytes)) {
                at->session->receive(monotonicNow(), *message);
                processSession(*at);
            }
        });
        m_flows.push_back(std::move(flow));
    }

    void step()
    {
        const TimePoint now = monotonicNow();
        bool waiting = false;
        for (const std::unique_ptr<CallerFlow> &flow : m_flows) {
            flow->session->tick(now);
            if (now < m_end) {
                sendRequest(now, *flow);
            }
            processSession(*flow);
            waiting = waiting || flow->session->pending() > 0;
        }
        if (now >= m_end && !waiting) {
            report(now);
            m_io.stop();
            return;
        }
        m_timer.expires_after(StepInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                step();
            }
        });
    }

    // Closed loop: one open request per flow, then a think time, at least the retry-after of a refusal.
    void sendRequest(TimePoint now, CallerFlow &flow)
    {
        if (flow.feed || !flow.session->opened() || flow.session->pending() > 0 || now < flow.nextRequest) {
            return;
        }
        StandinBody body;
        body.caller = flow.caller + (flow.repeatable ? m_options.clients + m_options.feeds : 0);
        body.number = ++m_lastNumber;
        body.repeatable = flow.repeatable;
        flow.openRequests[flow.session->request(now, flow.repeatable, RequestDeadline, encodeBody(body))] = body;
        ++m_sent;
    }

    void processSession(CallerFlow &flow)
    {
        const TimePoint now = monotonicNow();
        for (const Message &message : flow.session->takeOutbox()) {
            flow.socket->send(flow.service, message);
        }
        for (const FeedItem &item : flow.session->takeItems()) {
            const std::optional<StandinBody> body = decodeBody(item.body);
            flow.wrongItem = flow.wrongItem || !body || body->number != item.sequence || item.sequence != ++flow.feedItems;
        }
        if (flow.feed && flow.session->opened()) {
            flow.longestStall = std::max(flow.longestStall, Duration(now - flow.session->lastItemAt()));
        }
        for (const CallResult &result : flow.session->takeResults()) {
            recordResult(now, flow, result);
        }
    }

    void recordResult(TimePoint now, CallerFlow &flow, const CallResult &result)
    {
        boost::random::exponential_distribution<double> think(1.0 / m_options.thinkMs);
        flow.nextRequest = now + std::max(result.retryAfter, Duration(std::chrono::milliseconds(static_cast<int>(think(m_random)))));
        const StandinBody sentBody = flow.openRequests.at(result.request);
        flow.openRequests.erase(result.request);
        ++m_outcomes[static_cast<std::size_t>(result.outcome)];
        m_timedOut += result.timedOut ? 1 : 0;
        if (result.outcome == Outcome::NotRun) {
            m_notRun.push_back(requestTag(sentBody) + (sentBody.repeatable ? "r" : ""));
        }
        if (result.outcome != Outcome::Answered) {
            return;
        }
        m_latency.record(result.took);
        for (std::size_t index = 0; index < result.parts.size(); ++index) {
            const std::optional<StandinBody> part = decodeBody(result.parts[index]);
            const bool own = part && part->caller == sentBody.caller && part->number == sentBody.number && part->part == index;
            m_wrongAnswers += own ? 0 : 1;
        }
    }

    void report(TimePoint now)
    {
        int opened = 0;
        int broken = 0;
        std::uint64_t items = 0;
        Duration longestStall{};
        for (const std::unique_ptr<CallerFlow> &flow : m_flows) {
            opened += flow->session->opened() ? 1 : 0;
            const bool feedBroken = flow->feed
                && (flow->wrongItem || flow->longestStall >= BrokenFeedTimeout || now - flow->session->lastItemAt() >= BrokenFeedTimeout);
            broken += !flow->session->opened() || feedBroken ? 1 : 0;
            items += flow->feedItems;
            longestStall = std::max(longestStall, flow->longestStall);
        }
        writeReport(m_options.report,
                    {{"flows", m_flows.size()},
                     {"opened", opened},
                     {"broken", broken},
                     {"feedItems", items},
                     {"longestStallMs", longestStall.count() / 1000},
                     {"sent", m_sent},
                     {"answered", m_outcomes[0]},
                     {"notRun", m_outcomes[1]},
                     {"unknown", m_outcomes[2]},
                     {"deadlinePassed", m_outcomes[3]},
                     {"timedOut", m_timedOut},
                     {"wrongAnswers", m_wrongAnswers},
                     {"notRunTags", m_notRun},
                     {"p50Ms", static_cast<double>(m_latency.quantile(0.5).count()) / 1000},
                     {"p99Ms", static_cast<double>(m_latency.quantile(0.99).count()) / 1000}});
    }

    boost::asio::io_context &m_io;
    StandinCallerOptions m_options;
    boost::random::mt19937 m_random;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    TimePoint m_end;
    std::vector<std::unique_ptr<CallerFlow>> m_flows;
    std::uint32_t m_lastNumber = 0;
    std::uint64_t m_sent = 0;
    std::array<std::uint64_t, 4> m_outcomes{};
    std::uint64_t m_timedOut = 0;
    std::uint64_t m_wrongAnswers = 0;
    std::vector<std::string> m_notRun;
    LatencyHistogram m_latency;
};

} // namespace

int runStandinCaller(const StandinCallerOptions &options)
{
    boost::asio::io_context io;
    const StandinCallers callers(io, options);
    io.run();
    return 0;
}

} // namespace Robinrail
