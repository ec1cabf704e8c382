// SPDX-License-Identifier: MIT
// Operator desk: implementation.
#include "operator_desk.h"

#include "operator_call.h"
#include "standin_wire.h"

#include <nlohmann/json.hpp>

namespace Robinrail::Soak {

namespace {

// Statuses that end a call at once, as the platform's operators take them.
bool refuses(unsigned status)
{
    return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

// Between two changes drawn by lot, and between two reads.
constexpr milliseconds MaxChangePause{900};
constexpr Duration ReadInterval = milliseconds(300);

// Shares of changes that come as a pair, that are invalid, and that repeat an older document.
constexpr double RaceShare = 0.2;
constexpr double BadShare = 0.15;
constexpr double OldShare = 0.1;

constexpr Duration IdleTimeout = seconds(15);

} // namespace

OperatorDesk::OperatorDesk(boost::asio::io_context &io, const Plan &plan, Promises &promises, std::uint64_t seed)
    : m_io(io)
    , m_plan(plan)
    , m_promises(promises)
    , m_random(seed)
{
}

RoutingTable OperatorDesk::tableOf(std::uint64_t version) const
{
    RoutingTable table;
    table.version = version;
    table.idleTimeout = IdleTimeout;
    table.services = Services;
    table.routes = {{FirstRoute, {{0, 1}}}, {SecondRoute, {{1, 1}}}};
    if (m_changingRoute) {
        table.routes.push_back({ChangingRoute, {{0, 1}}});
    }
    return table;
}

void OperatorDesk::add(TimePoint now, std::uint64_t version, std::string text, bool valid)
{
    const auto order = std::make_shared<Order>();
    order->version = version;
    order->text = std::move(text);
    order->valid = valid;
    order->replica = pick(m_random, m_plan.replicas);
    order->due = now;
    order->pause = FirstCallPause;
    m_open.push_back(order);
}

void OperatorDesk::change(TimePoint now, bool withChangingRoute)
{
    m_changingRoute = withChangingRoute;
    m_version += 1 + pick(m_random, 3);
    m_sent[m_version] = Platform::serializeRoutingDocument(tableOf(m_version));
    if (withChangingRoute) {
        m_withRoute.insert(m_version);
    }
    followRoute(now);
    add(now, m_version, m_sent[m_version], true);
}

// A document that names an unknown service, has a route twice, or is cut short.
void OperatorDesk::drawBad(TimePoint now)
{
    RoutingTable table = tableOf(m_version + 1);
    std::string text = Platform::serializeRoutingDocument(table);
    switch (pick(m_random, 3)) {
    case 0:
        table.routes.push_back(table.routes.front());
        text = Platform::serializeRoutingDocument(table);
        break;
    case 1:
        text.replace(text.rfind("\"services\""), 10, "\"nothing\"");
        break;
    default:
        text.resize(text.size() / 2);
    }
    add(now, 0, text, false);
}

void OperatorDesk::drawChange(TimePoint now)
{
    m_changeDue = now + between(m_random, milliseconds(50), MaxChangePause);
    if (chance(m_random, BadShare)) {
        drawBad(now);
    } else if (!m_sent.empty() && chance(m_random, OldShare)) {
        const auto old = std::next(m_sent.begin(), static_cast<std::ptrdiff_t>(pick(m_random, m_sent.size())));
        add(now, old->first, old->second, true);
    } else {
        change(now, m_changingRoute);
        if (chance(m_random, RaceShare)) {
            change(now, m_changingRoute);
        }
    }
}

void OperatorDesk::tick(TimePoint now)
{
    constexpr std::size_t MaxOpen = 8;
    if (!m_finishing && now >= m_changeDue && m_open.size() < MaxOpen) {
        drawChange(now);
    }
    for (const std::shared_ptr<Order> &order : std::vector(m_open)) {
        if (!order->calling && now >= order->due) {
            order->calling = true;
            const HttpRequest request{"PUT", Platform::documentPath(), {}, {}, order->text};
            callReplica(m_io, {m_plan.replica(order->replica), Plan::ControlPort}, request, [this, order](const std::optional<HttpResponse> &reply) {
                answered(order, reply);
            });
        }
    }
    if (now >= m_readDue) {
        m_readDue = now + ReadInterval;
        read(now);
    }
}

void OperatorDesk::answered(const std::shared_ptr<Order> &order, const std::optional<HttpResponse> &reply)
{
    const TimePoint now = monotonicNow();
    const bool taken = reply && reply->status == Ok;
    if (taken && !order->valid) {
        m_promises.broken("an invalid document is refused", order->text.substr(0, 200));
    } else if (taken) {
        m_acknowledged = std::max(m_acknowledged, order->version);
        followRoute(now);
    } else if (reply && refuses(reply->status) && order->valid) {
        m_promises.broken("a valid document is taken", std::to_string(order->version) + ": " + reply->body);
    }
    if (taken || (reply && refuses(reply->status))) {
        std::erase(m_open, order);
        return;
    }
    order->calling = false;
    order->replica = (order->replica + 1) % m_plan.replicas;
    order->due = now + order->pause;
    order->pause = std::min(order->pause * 2, MaxCallPause);
}

// ---- Reading back ----

void OperatorDesk::read(TimePoint /*now*/)
{
    const std::uint64_t floor = std::max(m_acknowledged, m_seen);
    const bool last = m_finishing && m_open.empty();
    const Endpoint replica{m_plan.replica(pick(m_random, m_plan.replicas)), Plan::ControlPort};
    callReplica(m_io, replica, {"GET", Platform::documentPath(), {}, {}, {}}, [this, floor, last](const std::optional<HttpResponse> &reply) {
        if (reply && reply->status == Ok) {
            readBack(floor, last, *reply);
        }
    });
}

void OperatorDesk::readBack(std::uint64_t floor, bool last, const HttpResponse &reply)
{
    ++m_reads;
    const nlohmann::json document = nlohmann::json::parse(reply.body, nullptr, false);
    const std::uint64_t version = document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    m_seen = std::max(m_seen, version);
    if (version < floor) {
        m_promises.broken("a read gives the newest document", "version " + std::to_string(version) + ", known " + std::to_string(floor));
    }
    const auto sent = m_sent.find(version);
    if (version != 0 && (sent == m_sent.end() || sent->second != reply.body)) {
        m_promises.broken("a document is read as it was sent", "version " + std::to_string(version));
    }
    m_settled = m_settled || (last && version >= m_acknowledged);
}

void OperatorDesk::finish()
{
    m_finishing = true;
    m_settled = false;
}

bool OperatorDesk::settled() const
{
    return m_settled;
}

void OperatorDesk::followRoute(TimePoint now)
{
    const bool gone = m_acknowledged > 0 && m_withRoute.lower_bound(m_acknowledged) == m_withRoute.end();
    m_routeGone = gone ? std::optional(m_routeGone.value_or(now)) : std::nullopt;
}

std::optional<TimePoint> OperatorDesk::routeGoneSince() const
{
    return m_routeGone;
}

std::uint64_t OperatorDesk::acknowledged() const
{
    return m_acknowledged;
}

std::size_t OperatorDesk::reads() const
{
    return m_reads;
}

} // namespace Robinrail::Soak
