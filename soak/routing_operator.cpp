// SPDX-License-Identifier: MIT
// Routing operator: implementation.
#include "routing_operator.h"

#include "operator_call.h"
#include "standin_wire.h"

#include <nlohmann/json.hpp>

namespace Robinrail::Soak {

namespace {

// Status codes after which the platform's operators don't retry.
bool isRejection(unsigned status)
{
    return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

// Time between two random changes at most, and between two reads.
constexpr milliseconds MaxChangeInterval{900};
constexpr Duration ReadInterval = milliseconds(300);

// Probabilities that a change is one of a concurrent pair, is invalid, or resubmits an older document.
constexpr double ConcurrentProbability = 0.2;
constexpr double InvalidProbability = 0.15;
constexpr double ResubmitProbability = 0.1;

constexpr Duration IdleTimeout = seconds(15);

} // namespace

RoutingOperator::RoutingOperator(boost::asio::io_context &io, const Topology &topology, Violations &violations, std::uint64_t seed)
    : m_io(io)
    , m_topology(topology)
    , m_violations(violations)
    , m_random(seed)
{
}

RoutingTable RoutingOperator::makeTable(std::uint64_t version) const
{
    RoutingTable table;
    table.version = version;
    table.idleTimeout = IdleTimeout;
    table.services = Services;
    table.routes = {{FirstRoute, {{0, 1}}}, {SecondRoute, {{1, 1}}}};
    if (m_changingRoute) {
        table.routes.push_back({ChangingRoute, {{0, 1}}});
    }
    if (m_topology.overload) {
        constexpr Duration Timeout = seconds(3);
        table.routes.insert(table.routes.begin(), {BulkRoute, {{0, 1}}});
        for (std::size_t i = 0; i < 3; ++i) {
            table.objectives.push_back({priorityOfRoute(table.routes[i].address), LatencyObjective, Timeout});
        }
    }
    return table;
}

void RoutingOperator::enqueue(TimePoint now, std::uint64_t version, std::string text, bool valid)
{
    const auto submission = std::make_shared<Submission>();
    submission->version = version;
    submission->text = std::move(text);
    submission->valid = valid;
    submission->replica = uniformIndex(m_random, m_topology.replicas);
    submission->nextCallAt = now;
    submission->retryDelay = FirstRetryDelay;
    m_pending.push_back(submission);
}

void RoutingOperator::submitChange(TimePoint now, bool withChangingRoute)
{
    m_changingRoute = withChangingRoute;
    m_lastVersion += 1 + uniformIndex(m_random, 3);
    m_sentDocuments[m_lastVersion] = Platform::serializeRoutingDocument(makeTable(m_lastVersion));
    if (withChangingRoute) {
        m_versionsWithChangingRoute.insert(m_lastVersion);
    }
    updateRouteRemoval(now);
    enqueue(now, m_lastVersion, m_sentDocuments[m_lastVersion], true);
}

// Submits a document that has a duplicate route, refers to undefined services, or is truncated.
void RoutingOperator::submitInvalidDocument(TimePoint now)
{
    RoutingTable table = makeTable(m_lastVersion + 1);
    std::string text = Platform::serializeRoutingDocument(table);
    switch (uniformIndex(m_random, 3)) {
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
    enqueue(now, 0, text, false);
}

void RoutingOperator::submitRandomChange(TimePoint now)
{
    m_nextChangeAt = now + uniformDuration(m_random, milliseconds(50), MaxChangeInterval);
    if (chance(m_random, InvalidProbability)) {
        submitInvalidDocument(now);
    } else if (!m_sentDocuments.empty() && chance(m_random, ResubmitProbability)) {
        const auto previous = std::next(m_sentDocuments.begin(), static_cast<std::ptrdiff_t>(uniformIndex(m_random, m_sentDocuments.size())));
        enqueue(now, previous->first, previous->second, true);
    } else {
        submitChange(now, m_changingRoute);
        if (chance(m_random, ConcurrentProbability)) {
            submitChange(now, m_changingRoute);
        }
    }
}

void RoutingOperator::tick(TimePoint now)
{
    constexpr std::size_t MaxPending = 8;
    if (!m_finishing && now >= m_nextChangeAt && m_pending.size() < MaxPending) {
        submitRandomChange(now);
    }
    for (const std::shared_ptr<Submission> &submission : std::vector(m_pending)) {
        if (!submission->callPending && now >= submission->nextCallAt) {
            submission->callPending = true;
            const HttpRequest request{"PUT", Platform::documentPath(), {}, {}, submission->text};
            callLeader(
                m_io, {m_topology.replica(submission->replica), Topology::ControlPort}, request, [this, submission](const std::optional<HttpResponse> &reply) {
                    handleReply(submission, reply);
                });
        }
    }
    if (now >= m_nextReadAt) {
        m_nextReadAt = now + ReadInterval;
        requestRead(now);
    }
}

void RoutingOperator::handleReply(const std::shared_ptr<Submission> &submission, const std::optional<HttpResponse> &reply)
{
    const TimePoint now = monotonicNow();
    const bool accepted = reply && reply->status == Ok;
    if (accepted && !submission->valid) {
        m_violations.report("an invalid document is rejected", submission->text.substr(0, 200));
    } else if (accepted) {
        m_acknowledged = std::max(m_acknowledged, submission->version);
        updateRouteRemoval(now);
    } else if (reply && isRejection(reply->status) && submission->valid) {
        m_violations.report("a valid document is accepted", std::to_string(submission->version) + ": " + reply->body);
    }
    if (accepted || (reply && isRejection(reply->status))) {
        std::erase(m_pending, submission);
        return;
    }
    submission->callPending = false;
    submission->replica = (submission->replica + 1) % m_topology.replicas;
    submission->nextCallAt = now + submission->retryDelay;
    submission->retryDelay = std::min(submission->retryDelay * 2, MaxRetryDelay);
}

// ---- Reads ----

void RoutingOperator::requestRead(TimePoint /*now*/)
{
    const std::uint64_t minVersion = std::max(m_acknowledged, m_highestRead);
    const bool isFinalRead = m_finishing && m_pending.empty();
    const Endpoint replica{m_topology.replica(uniformIndex(m_random, m_topology.replicas)), Topology::ControlPort};
    callLeader(m_io, replica, {"GET", Platform::documentPath(), {}, {}, {}}, [this, minVersion, isFinalRead](const std::optional<HttpResponse> &reply) {
        if (reply && reply->status == Ok) {
            checkRead(minVersion, isFinalRead, *reply);
        }
    });
}

void RoutingOperator::checkRead(std::uint64_t minVersion, bool isFinalRead, const HttpResponse &reply)
{
    ++m_reads;
    const nlohmann::json document = nlohmann::json::parse(reply.body, nullptr, false);
    const std::uint64_t version = document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    m_highestRead = std::max(m_highestRead, version);
    if (version < minVersion) {
        m_violations.report("a read returns the newest document", "version " + std::to_string(version) + ", expected at least " + std::to_string(minVersion));
    }
    const auto sent = m_sentDocuments.find(version);
    if (version != 0 && (sent == m_sentDocuments.end() || sent->second != reply.body)) {
        m_violations.report("a read returns a document as it was sent", "version " + std::to_string(version));
    }
    m_finalReadSucceeded = m_finalReadSucceeded || (isFinalRead && version >= m_acknowledged);
}

void RoutingOperator::finish()
{
    m_finishing = true;
    m_finalReadSucceeded = false;
}

bool RoutingOperator::finalReadSucceeded() const
{
    return m_finalReadSucceeded;
}

void RoutingOperator::updateRouteRemoval(TimePoint now)
{
    const bool removed = m_acknowledged > 0 && m_versionsWithChangingRoute.lower_bound(m_acknowledged) == m_versionsWithChangingRoute.end();
    m_routeRemovedSince = removed ? std::optional(m_routeRemovedSince.value_or(now)) : std::nullopt;
}

std::optional<TimePoint> RoutingOperator::routeRemovedSince() const
{
    return m_routeRemovedSince;
}

std::uint64_t RoutingOperator::acknowledged() const
{
    return m_acknowledged;
}

std::size_t RoutingOperator::reads() const
{
    return m_reads;
}

} // namespace Robinrail::Soak
