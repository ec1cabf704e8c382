// SPDX-License-Identifier: MIT
// Control daemon: the administration API, with its reads, changes and figures.
#include "api_json.h"
#include "control_daemon.h"
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

void ControlDaemon::handleHttp(const HttpRequest &request, const HttpRespond &respond)
{
    if (request.path == "/healthz") {
        return respond(jsonReply({{"status", "ok"}}));
    }
    if (request.path == "/readyz") {
        const bool ready = m_driver.core().raft().inContact(monotonicNow());
        return respond(jsonReply({{"ready", ready}}, ready ? 200 : HttpUnavailable));
    }
    if (request.path == "/metrics") {
        return respond(metrics());
    }
    if (request.token != m_file.adminToken) {
        return respond(errorReply(HttpUnauthorized, "unauthorized", "send the admin token as a bearer token"));
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
    respond(errorReply(HttpNotFound, "not-found", request.path));
}

void ControlDaemon::submitChange(const HttpRequest &request, const HttpRespond &respond)
{
    std::optional<SignedChange> change = signedChangeFromApi(request.body);
    if (!change) {
        return respond(errorReply(HttpBadRequest, "malformed-change", "see docs/API.md"));
    }
    change->receivedAt = wallClockSeconds();
    m_open[++m_lastTicket] = {respond, {}};
    m_driver.core().submit(monotonicNow(), m_lastTicket, *change);
    scheduleFlush();
}

// Reads are linearizable: they are answered only once a quorum confirmed that this replica still leads.
void ControlDaemon::handleRead(const HttpRequest &request, const HttpRespond &respond)
{
    if (queryValue(request.query, "stale") == "true") {
        return respond(readState(request));
    }
    m_open[++m_lastTicket] = {respond, [this, request] {
                                  return readState(request);
                              }};
    m_driver.core().read(monotonicNow(), m_lastTicket);
    scheduleFlush();
}

void ControlDaemon::reply(const ControlReply &answer)
{
    const auto at = m_open.find(answer.ticket);
    if (at == m_open.end()) {
        return;
    }
    const OpenRequest open = std::move(at->second);
    m_open.erase(at);
    switch (answer.status) {
    case ControlStatus::NotLeader:
        return open.respond(notLeader());
    case ControlStatus::Unknown:
        return open.respond(errorReply(HttpUnavailable, "outcome-unknown", "send the same change again"));
    case ControlStatus::Done:
        break;
    }
    if (open.answer) {
        return open.respond(open.answer());
    }
    const bool refused = answer.result.refusal != ChangeRefusal::None;
    open.respond(jsonReply(toApi(answer.result), refused ? HttpConflict : 200));
}

HttpReply ControlDaemon::notLeader() const
{
    Json body = {{"error", "not-leader"}, {"detail", "ask the leader"}};
    for (const ReplicaAddress &replica : m_file.replicas) {
        if (replica.id == m_driver.core().raft().leader().id) {
            body["leader"] = toText(replica.admin);
        }
    }
    return jsonReply(body, HttpUnavailable);
}

HttpReply ControlDaemon::readState(const HttpRequest &request) const
{
    const ControlState &state = m_driver.core().state();
    Json body = Json::array();
    if (request.path == "/v1/bundle") {
        const std::string wanted = queryValue(request.query, "version");
        const std::uint64_t number = wanted.empty() ? state.latestVersion() : std::strtoull(wanted.c_str(), nullptr, 10);
        const BundleVersion *version = state.find(number);
        return version != nullptr ? jsonReply(toApi(*version, true)) : errorReply(HttpNotFound, "no-such-version");
    }
    if (request.path == "/v1/history") {
        for (const BundleVersion &version : state.history()) {
            body.push_back(toApi(version, false));
        }
        return jsonReply(body);
    }
    if (request.path == "/v1/audit") {
        const std::uint64_t after = std::strtoull(queryValue(request.query, "after").c_str(), nullptr, 10);
        for (const AuditRecord &record : state.audit()) {
            if (record.number > after) {
                body.push_back(toApi(record));
            }
        }
        return jsonReply(body);
    }
    if (request.path == "/v1/operators") {
        for (const OperatorRecord &record : state.operators()) {
            body.push_back(toApi(record));
        }
        return jsonReply(body);
    }
    if (request.path == "/v1/proposals") {
        for (const Proposal &proposal : state.proposals()) {
            body.push_back(toApi(proposal));
        }
        return jsonReply(body);
    }
    if (request.path == "/v1/rollout") {
        if (state.history().empty()) {
            return errorReply(HttpNotFound, "no-such-version");
        }
        const BundleVersion &newest = state.history().back();
        const RolloutTracker::Progress progress = m_tracker.progress(newest);
        return jsonReply({{"version", newest.version}, {"stage", nameOf(newest.stage)}, {"inForce", progress.inForce}, {"expected", progress.expected}});
    }
    return errorReply(HttpNotFound, "not-found", request.path);
}

HttpReply ControlDaemon::status() const
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
    return jsonReply({{"replica", value(m_file.replica)},
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

HttpReply ControlDaemon::metrics() const
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

HttpReply ControlDaemon::setTestFaults(const HttpRequest &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return errorReply(HttpBadRequest, "malformed");
    }
    m_links.dropTraffic(PeerRole::Control, body.value("replicas", std::set<std::uint16_t>()));
    m_links.dropTraffic(PeerRole::Balancer, body.value("balancers", std::set<std::uint16_t>()));
    return jsonReply({{"status", "ok"}});
}

} // namespace Robinrail
