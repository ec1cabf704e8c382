// SPDX-License-Identifier: MIT
// Control daemon: the administration API, with reads, changes and metrics.
#include "api_json.h"
#include "control_daemon.h"
#include "json_schema.h"
#include "metrics.h"
#include "net.h"

namespace Robinrail {

using Json = nlohmann::json;

namespace {

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpUnauthorized = 401;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpConflict = 409;
constexpr unsigned HttpUnavailable = 503;

std::int64_t wallClockSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

void ControlDaemon::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/healthz") {
        return respond(jsonResponse({{"status", "ok"}}));
    }
    if (request.path == "/readyz") {
        const bool ready = m_driver.core().raft().inContact(monotonicNow());
        return respond(jsonResponse({{"ready", ready}}, ready ? 200 : HttpUnavailable));
    }
    if (request.path == "/metrics") {
        return respond(metrics());
    }
    if (request.token != m_file.adminToken) {
        return respond(errorResponse(HttpUnauthorized, "unauthorized", "send the admin token as a bearer token"));
    }
    if (request.path == "/v1/status") {
        return respond(status());
    }
    if (request.path == "/v1/changes" && request.method == "POST") {
        return submitChange(request, respond);
    }
    if (request.path == "/v1/test/drop" && request.method == "POST" && m_testFaults) {
        return respond(setTestFaults(request));
    }
    if (request.method == "GET") {
        return handleRead(request, respond);
    }
    respond(errorResponse(HttpNotFound, "not-found", request.path));
}

void ControlDaemon::submitChange(const HttpRequest &request, const HttpResponder &respond)
{
    std::optional<SignedChange> change = signedChangeFromApi(request.body);
    if (!change) {
        return respond(errorResponse(HttpBadRequest, "malformed-change", "see docs/API.md"));
    }
    change->receivedAt = wallClockSeconds();
    m_pendingRequests.emplace(++m_lastTicket, PendingRequest{respond, {}});
    m_driver.core().submit(monotonicNow(), m_lastTicket, *change);
    scheduleFlush();
}

// Reads are linearizable, as they are answered only after a quorum has confirmed that this replica still leads. With
// stale=true they are answered from the local state.
void ControlDaemon::handleRead(const HttpRequest &request, const HttpResponder &respond)
{
    if (queryValue(request.query, "stale") == "true") {
        return respond(readState(request));
    }
    const auto read = [this, request] {
        return readState(request);
    };
    m_pendingRequests.emplace(++m_lastTicket, PendingRequest{respond, read});
    m_driver.core().read(monotonicNow(), m_lastTicket);
    scheduleFlush();
}

void ControlDaemon::completeRequest(const ControlReply &reply)
{
    const auto at = m_pendingRequests.find(reply.ticket);
    if (at == m_pendingRequests.end()) {
        return;
    }
    const PendingRequest pending = std::move(at->second);
    m_pendingRequests.erase(at);
    switch (reply.status) {
    case RequestStatus::NotLeader:
        return pending.respond(notLeaderResponse());
    case RequestStatus::Unknown:
        return pending.respond(errorResponse(HttpUnavailable, "outcome-unknown", "send the same change again"));
    case RequestStatus::Done:
        break;
    }
    if (pending.read) {
        return pending.respond.answer(pending.read);
    }
    pending.respond.answer([&reply] {
        const bool refused = reply.result.refusal != ChangeRefusal::None;
        return jsonResponse(toApi(reply.result), refused ? HttpConflict : 200);
    });
}

HttpResponse ControlDaemon::notLeaderResponse() const
{
    Json body = {{"error", "not-leader"}, {"detail", "ask the leader"}};
    for (const ReplicaAddress &replica : m_file.replicas) {
        if (replica.id == m_driver.core().raft().leader().id) {
            body["leader"] = toText(replica.admin);
        }
    }
    return jsonResponse(body, HttpUnavailable);
}

HttpResponse ControlDaemon::readState(const HttpRequest &request) const
{
    const ControlState &state = m_driver.core().state();
    Json body = Json::array();
    if (request.path == "/v1/bundle") {
        const std::string requested = queryValue(request.query, "version");
        const std::uint64_t number = requested.empty() ? state.latestVersion() : std::strtoull(requested.c_str(), nullptr, 10);
        const BundleVersion *version = state.find(number);
        return version != nullptr ? jsonResponse(toApi(*version, true)) : errorResponse(HttpNotFound, "no-such-version");
    }
    if (request.path == "/v1/history") {
        for (const BundleVersion &version : state.history()) {
            body.push_back(toApi(version, false));
        }
        return jsonResponse(body);
    }
    if (request.path == "/v1/audit") {
        const std::uint64_t after = std::strtoull(queryValue(request.query, "after").c_str(), nullptr, 10);
        for (const AuditRecord &record : state.audit()) {
            if (record.number > after) {
                body.push_back(toApi(record));
            }
        }
        return jsonResponse(body);
    }
    if (request.path == "/v1/operators") {
        for (const OperatorRecord &record : state.operators()) {
            body.push_back(toApi(record));
        }
        return jsonResponse(body);
    }
    if (request.path == "/v1/proposals") {
        for (const Proposal &proposal : state.proposals()) {
            body.push_back(toApi(proposal));
        }
        return jsonResponse(body);
    }
    if (request.path == "/v1/rollout") {
        if (state.history().empty()) {
            return errorResponse(HttpNotFound, "no-such-version");
        }
        const BundleVersion &newest = state.history().back();
        const RolloutTracker::Progress progress = m_tracker.progress(newest);
        return jsonResponse({{"version", newest.version}, {"stage", nameOf(newest.stage)}, {"inForce", progress.inForce}, {"expected", progress.expected}});
    }
    return errorResponse(HttpNotFound, "not-found", request.path);
}

HttpResponse ControlDaemon::status() const
{
    const RaftCore &raft = m_driver.core().raft();
    Json members = Json::array();
    for (const ReplicaMember &member : raft.config().members) {
        members.push_back({{"replica", value(member.key.id)}, {"disk", member.key.disk}, {"voter", member.voter}});
    }
    Json balancers = Json::array();
    for (const RolloutTracker::Subscriber &subscriber : m_tracker.subscribers()) {
        balancers.push_back({{"balancer", value(subscriber.balancer.id)},
                             {"incarnation", value(subscriber.balancer.incarnation)},
                             {"version", subscriber.version},
                             {"connected", subscriber.connected}});
    }
    return jsonResponse({{"replica", value(m_file.replica)},
                         {"disk", raft.self().disk},
                         {"role", nameOf(raft.role())},
                         {"leader", value(raft.leader().id)},
                         {"term", value(raft.term())},
                         {"commitIndex", value(raft.commitIndex())},
                         {"lastIndex", value(raft.lastIndex())},
                         {"inContact", raft.inContact(monotonicNow())},
                         {"version", m_driver.core().state().latestVersion()},
                         {"members", members},
                         {"configCommitted", raft.configCommitted()},
                         {"balancers", balancers}});
}

HttpResponse ControlDaemon::metrics() const
{
    const RaftCore &raft = m_driver.core().raft();
    PrometheusWriter text;
    text.gauge("robinrail_control_term", "Consensus term.", static_cast<double>(value(raft.term())));
    text.gauge("robinrail_control_leader", "1 on the leader.", raft.role() == RaftRole::Leader ? 1 : 0);
    text.gauge("robinrail_control_in_contact", "1 while in contact with a quorum.", raft.inContact(monotonicNow()) ? 1 : 0);
    text.gauge("robinrail_control_commit_index", "Committed log index.", static_cast<double>(value(raft.commitIndex())));
    text.gauge("robinrail_control_bundle_version", "Newest accepted bundle version.", static_cast<double>(m_driver.core().state().latestVersion()));
    text.counter("robinrail_control_link_bytes_sent_total", "Bytes sent on links.", static_cast<double>(m_links.bytesSent()));
    text.counter("robinrail_control_unsent_total", "Messages of consensus for which there was no link.", static_cast<double>(m_reach.unsent()));
    text.counter("robinrail_control_links_rejected_total", "Links closed for a failed proof.", static_cast<double>(m_links.rejected()));
    return {200, "text/plain; version=0.0.4", text.text()};
}

HttpResponse ControlDaemon::setTestFaults(const HttpRequest &request)
{
    const std::optional<Json> body = parseStrictJson(request.body);
    if (!body || !body->is_object()) {
        return errorResponse(HttpBadRequest, "malformed");
    }
    m_links.dropTraffic(PeerRole::Control, body->value("replicas", std::set<std::uint16_t>()));
    m_links.dropTraffic(PeerRole::Balancer, body->value("balancers", std::set<std::uint16_t>()));
    return jsonResponse({{"status", "ok"}});
}

} // namespace Robinrail
