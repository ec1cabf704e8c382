// SPDX-License-Identifier: MIT
// API JSON: implementation.
#include "api_json.h"

#include "json_schema.h"
#include "settings.h"

namespace Robinrail {

using Json = nlohmann::json;

namespace {

double seconds(Duration duration)
{
    constexpr double PerSecond = 1e6;
    return static_cast<double>(duration.count()) / PerSecond;
}

template<std::size_t N>
bool readHex(const Json &json, const char *key, std::array<std::uint8_t, N> &bytes)
{
    return json.contains(key) && json[key].is_string() && fromHex(json[key].get<std::string>(), bytes);
}

template<typename T>
bool readNumber(const Json &json, const char *key, T &number)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned()) {
        return false;
    }
    const auto wide = found->get<std::uint64_t>();
    number = static_cast<T>(wide);
    return static_cast<std::uint64_t>(number) == wide;
}

bool readText(const Json &json, const char *key, std::string &text)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string()) {
        return false;
    }
    text = found->get<std::string>();
    return true;
}

} // namespace

Json changeIdJson(const ChangeId &id)
{
    return toHex(id);
}

Json toApi(const ChangeResult &result)
{
    return {{"refusal", nameOf(result.refusal)},
            {"version", result.version},
            {"approvals", result.approvals},
            {"approvalsRequired", result.approvalsRequired},
            {"winner", changeIdJson(result.winner)},
            {"detail", result.detail}};
}

Json toApi(const AuditRecord &record)
{
    return {{"number", record.number},
            {"receivedAt", record.receivedAt},
            {"operator", record.operatorName},
            {"action", record.action},
            {"change", changeIdJson(record.change)},
            {"refusal", nameOf(record.refusal)},
            {"refusalCode", value(record.refusal)},
            {"version", record.version},
            {"previous", toHex(record.previous)},
            {"hash", toHex(record.hash)}};
}

Json toApi(const OperatorRecord &record)
{
    return {{"name", record.name},
            {"key", toHex(record.key)},
            {"role", record.role == OperatorRole::Administrator ? "administrator" : "author"},
            {"revoked", record.revoked}};
}

Json toApi(const BundleVersion &version, bool withText)
{
    Json first = Json::array();
    for (const BalancerId id : version.firstBalancers) {
        first.push_back(value(id));
    }
    Json json = {{"version", version.version},
                 {"change", changeIdJson(version.change)},
                 {"author", version.author},
                 {"stage", nameOf(version.stage)},
                 {"firstBalancers", first}};
    if (withText) {
        json["bundle"] = parseStrictJson(version.text).value();
    }
    return json;
}

Json toApi(const Proposal &proposal)
{
    return {{"change", changeIdJson(proposal.change)}, {"author", proposal.author}, {"baseVersion", proposal.baseVersion}, {"approvers", proposal.approvers}};
}

Json toApi(const Target &target, TimePoint now)
{
    const Announcement &announcement = target.announcement;
    return {{"target", value(announcement.target)},
            {"service", value(announcement.service)},
            {"dataCentre", value(announcement.dataCentre)},
            {"address", toText(announcement.endpoint)},
            {"state", nameOf(target.state)},
            {"slots", announcement.slots},
            {"usableSlots", usableSlots(target, now)},
            {"share", target.assignedSlots},
            {"running", target.running},
            {"feeds", target.feeds},
            {"connections", announcement.connections},
            {"reportedRunning", announcement.reportedRunning},
            {"silentAttempts", target.unansweredAttempts},
            {"lastHeardSecondsAgo", seconds(now - target.lastHeard)}};
}

Json toApi(const Peer &peer, TimePoint now)
{
    return {{"balancer", value(peer.id)},
            {"address", toText(peer.endpoint)},
            {"incarnation", value(peer.incarnation)},
            {"alive", peer.alive},
            {"stopping", peer.stopping},
            {"version", peer.bundleVersion},
            {"lastHeardSecondsAgo", peer.alive ? seconds(now - peer.lastHeard) : -1.0}};
}

Json toApi(const Event &event, std::uint64_t number)
{
    Json json = {{"number", number}, {"event", nameOf(event.kind)}, {"at", seconds(event.at.time_since_epoch())}};
    const auto add = [&json](const char *key, std::uint64_t content) {
        if (content != 0) {
            json[key] = content;
        }
    };
    add("service", value(event.service));
    add("request", value(event.request));
    add("target", value(event.target));
    add("peer", value(event.peer));
    add("tookMicroseconds", static_cast<std::uint64_t>(event.took.count()));
    if (value(event.flow) != 0) {
        json["flow"] = std::to_string(value(event.flow));
    }
    if (event.kind == EventKind::RequestRefused) {
        json["outcome"] = nameOf(static_cast<Outcome>(event.detail));
    }
    if (event.kind == EventKind::PacketRejected) {
        json["reason"] = nameOf(static_cast<RejectReason>(event.detail));
    }
    return json;
}

Json toApi(const SignedChange &change)
{
    return {
        {"change", changeIdJson(change.change)}, {"operator", change.operatorName}, {"content", toHex(change.content)}, {"signature", toHex(change.signature)}};
}

std::optional<SignedChange> signedChangeFromApi(std::string_view text)
{
    const Json json = parseStrictJson(text).value_or(nullptr);
    SignedChange change;
    std::string content;
    if (!json.is_object() || !readHex(json, "change", change.change) || !readText(json, "operator", change.operatorName) || !readText(json, "content", content)
        || !readHex(json, "signature", change.signature)) {
        return std::nullopt;
    }
    change.content.resize(content.size() / 2);
    if (!fromHex(content, change.content)) {
        return std::nullopt;
    }
    return change;
}

std::optional<AuditRecord> auditRecordFromApi(const Json &json)
{
    AuditRecord record;
    const bool valid = json.is_object() && readNumber(json, "number", record.number) && readNumber(json, "receivedAt", record.receivedAt)
        && readText(json, "operator", record.operatorName) && readText(json, "action", record.action) && readHex(json, "change", record.change)
        && readNumber(json, "refusalCode", record.refusal) && readNumber(json, "version", record.version) && readHex(json, "previous", record.previous)
        && readHex(json, "hash", record.hash);
    return valid ? std::optional(record) : std::nullopt;
}

std::string_view nameOf(RolloutStage stage)
{
    switch (stage) {
    case RolloutStage::First:
        return "first";
    case RolloutStage::All:
        return "all";
    case RolloutStage::Stopped:
        return "stopped";
    }
    return "unknown";
}

std::string_view nameOf(TargetState state)
{
    switch (state) {
    case TargetState::Serving:
        return "serving";
    case TargetState::Draining:
        return "draining";
    case TargetState::Lost:
        return "lost";
    }
    return "unknown";
}

std::string_view nameOf(RaftRole role)
{
    switch (role) {
    case RaftRole::Joining:
        return "joining";
    case RaftRole::Follower:
        return "follower";
    case RaftRole::PreCandidate:
        return "pre-candidate";
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Leader:
        return "leader";
    }
    return "unknown";
}

// The body may contain any bytes of a request: those that are not UTF-8 are replaced, as dump() throws on them by default.
HttpResponse jsonResponse(const Json &body, unsigned status)
{
    return {status, "application/json", body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

HttpResponse errorResponse(unsigned status, std::string_view error, std::string_view detail)
{
    return jsonResponse({{"error", error}, {"detail", detail}}, status);
}

} // namespace Robinrail
