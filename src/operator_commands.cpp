// SPDX-License-Identifier: MIT
// Operator commands: one function per subcommand.
#include "operator_commands.h"

#include "api_json.h"
#include "bundle.h"
#include "command_arguments.h"
#include "json_schema.h"
#include "load_command.h"
#include "operator_client.h"
#include "standin.h"
#include "standin_verify.h"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace Robinrail {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds WatchInterval{200};

leaf::result<std::string> readInputFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return badInput(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

leaf::result<OperatorClient> makeClient(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(config, loadClientConfig(stringArgument(arguments, "--config", "robinrail.json")));
    return OperatorClient(std::move(config));
}

// Prints a value as JSON if --json is given, otherwise one line of key=value pairs per entry.
void print(const CommandArguments &arguments, const Json &json)
{
    if (hasArgument(arguments, "--json")) {
        std::cout << json.dump(2) << '\n';
        return;
    }
    const Json rows = json.is_array() ? json : Json::array({json});
    for (const Json &row : rows) {
        std::string line;
        for (const auto &[key, content] : row.items()) {
            line += (line.empty() ? "" : " ") + key + "=" + (content.is_string() ? content.get<std::string>() : content.dump());
        }
        std::cout << line << '\n';
    }
}

// ---- Keys and bundles ----

leaf::result<int> keygen(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(key, writeKeyFile(stringArgument(arguments, "--out")));
    print(arguments, {{"publicKey", toHex(key)}});
    return ExitOk;
}

leaf::result<std::string> readValidBundle(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readInputFile(path));
    JsonError error;
    if (!parseBundle(text, error)) {
        return badInput(path + ": " + error.text());
    }
    return text;
}

leaf::result<int> bundleCheck(const CommandArguments &arguments)
{
    BOOST_LEAF_CHECK(readValidBundle(stringArgument(arguments, "FILE")));
    print(arguments, {{"bundle", stringArgument(arguments, "FILE")}, {"valid", true}});
    return ExitOk;
}

leaf::result<int> bundleSign(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(text, readValidBundle(stringArgument(arguments, "FILE")));
    BOOST_LEAF_AUTO(base, numberArgument(arguments, "--base"));
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(change, client.signWithConfiguredKey(encodeMessage(ControlChange(ProposeBundle{base, text}))));
    std::ofstream out(stringArgument(arguments, "--out"));
    out << toApi(change).dump() << '\n';
    if (!out) {
        return badInput(stringArgument(arguments, "--out") + ": cannot be written");
    }
    print(arguments, {{"change", changeIdJson(change.change)}, {"baseVersion", base}});
    return ExitOk;
}

leaf::result<int> bundlePropose(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(text, readInputFile(stringArgument(arguments, "SIGNED")));
    const std::optional<Json> change = parseStrictJson(text);
    if (!change || !signedChangeFromApi(text)) {
        return badInput(stringArgument(arguments, "SIGNED") + ": not a signed change");
    }
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(response, client.submit(*change));
    print(arguments, response);
    return ExitOk;
}

leaf::result<int> submitChange(const CommandArguments &arguments, const ControlChange &content)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(change, client.signWithConfiguredKey(encodeMessage(content)));
    BOOST_LEAF_AUTO(response, client.submit(toApi(change)));
    print(arguments, response);
    return ExitOk;
}

leaf::result<int> bundleApprove(const CommandArguments &arguments)
{
    ApproveBundle approve;
    if (!fromHex(stringArgument(arguments, "CHANGE"), approve.proposal)) {
        return badInput("CHANGE: expected 32 hexadecimal digits");
    }
    return submitChange(arguments, approve);
}

leaf::result<int> read(const CommandArguments &arguments, const std::string &path, const std::string &query = {})
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(response, client.readControl(path, query));
    print(arguments, response);
    return ExitOk;
}

leaf::result<int> bundleShow(const CommandArguments &arguments)
{
    const std::string version = stringArgument(arguments, "--at");
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(response, client.readControl("/v1/bundle", version.empty() ? "" : "version=" + version));
    std::cout << (hasArgument(arguments, "--json") ? response : response["bundle"]).dump(2) << '\n';
    return ExitOk;
}

leaf::result<int> bundleDiff(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(from, client.readControl("/v1/bundle", "version=" + stringArgument(arguments, "FROM")));
    BOOST_LEAF_AUTO(to, client.readControl("/v1/bundle", "version=" + stringArgument(arguments, "TO")));
    print(arguments, Json::diff(from["bundle"], to["bundle"]));
    return ExitOk;
}

// ---- Rollout and operators ----

leaf::result<int> rolloutWatch(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(seconds, numberArgument(arguments, "--timeout"));
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    const auto started = std::chrono::steady_clock::now();
    for (;;) {
        BOOST_LEAF_AUTO(progress, client.readControl("/v1/rollout"));
        const std::chrono::duration<double> waited = std::chrono::steady_clock::now() - started;
        progress["watchedSeconds"] = waited.count();
        const bool done = progress["inForce"] == progress["expected"] && progress["expected"] > 0;
        if (done || waited.count() > static_cast<double>(seconds)) {
            print(arguments, progress);
            return done ? ExitOk : ExitFailed;
        }
        std::this_thread::sleep_for(WatchInterval / 4);
    }
}

leaf::result<int> rolloutUpdate(const CommandArguments &arguments, RolloutAction action)
{
    BOOST_LEAF_AUTO(version, numberArgument(arguments, "VERSION"));
    return submitChange(arguments, UpdateRollout{version, action});
}

leaf::result<int> operatorSet(const CommandArguments &arguments)
{
    SetOperator set;
    set.name = stringArgument(arguments, "NAME");
    set.revoked = hasArgument(arguments, "--revoked");
    if (!fromHex(stringArgument(arguments, "KEY"), set.key)) {
        return badInput("KEY: expected 64 hexadecimal digits");
    }
    const std::string role = stringArgument(arguments, "ROLE");
    if (role != "author" && role != "administrator") {
        return badInput("ROLE: found \"" + role + "\", expected author or administrator");
    }
    set.role = role == "administrator" ? OperatorRole::Administrator : OperatorRole::Author;
    return submitChange(arguments, set);
}

// ---- Status ----

// Queries every balancer. The row of one that fails holds the error.
leaf::result<Json> queryBalancers(OperatorClient &client, const std::string &path, const std::string &query = {})
{
    Json rows = Json::array();
    for (const BalancerAddress &balancer : client.config().balancers) {
        Json row = leaf::try_handle_all(
            [&] {
                return client.callBalancer(balancer, "GET", path, query);
            },
            [](const ClientErrorMessage &error) {
                return Json({{"error", error.text}});
            },
            [] {
                return Json({{"error", "failed"}});
            });
        rows.push_back({{"balancer", value(balancer.id)}, {"answer", std::move(row)}});
    }
    return rows;
}

leaf::result<int> status(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    Json rows = Json::array();
    for (const Endpoint &endpoint : client.config().control) {
        const std::optional<HttpResponse> response = sendHttpRequest(endpoint, {"GET", "/v1/status", {}, client.config().token, {}}, std::chrono::seconds(1));
        Json row = response ? parseJsonResponse(response->body).value_or(nullptr) : Json({{"error", "did not respond"}});
        if (row.is_object()) {
            row.erase("balancers");
        }
        rows.push_back(std::move(row));
    }
    BOOST_LEAF_AUTO(balancers, queryBalancers(client, "/v1/status"));
    for (Json &row : balancers) {
        rows.push_back(std::move(row["answer"]));
    }
    print(arguments, rows);
    return ExitOk;
}

// Prints one row per target, with shares, running attempts and feeds summed over the balancers.
leaf::result<int> targets(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(responses, queryBalancers(client, "/v1/targets"));
    std::map<std::uint64_t, Json> rows;
    for (const Json &response : responses) {
        for (const Json &target : response["answer"]) {
            if (!target.contains("target")) {
                continue;
            }
            Json &row = rows[target["target"].get<std::uint64_t>()];
            if (row.is_null()) {
                row = target;
                continue;
            }
            for (const char *summed : {"share", "running", "feeds"}) {
                row[summed] = row[summed].get<std::uint64_t>() + target[summed].get<std::uint64_t>();
            }
            row["state"] = target["state"] == "draining" ? target["state"] : row["state"];
        }
    }
    Json list = Json::array();
    for (auto &[id, row] : rows) {
        list.push_back(std::move(row));
    }
    print(arguments, list);
    return ExitOk;
}

leaf::result<int> flowsExplain(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(responses, queryBalancers(client, "/v1/flows/" + stringArgument(arguments, "ID")));
    print(arguments, responses);
    return ExitOk;
}

leaf::result<int> auditTail(const CommandArguments &arguments)
{
    return read(arguments, "/v1/audit", "after=" + stringArgument(arguments, "--after", "0"));
}

leaf::result<int> auditVerify(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(response, client.readControl("/v1/audit"));
    std::vector<AuditRecord> records;
    for (const Json &row : response) {
        const std::optional<AuditRecord> record = auditRecordFromApi(row);
        if (!record) {
            return badInput("the server sent a malformed audit record");
        }
        records.push_back(*record);
    }
    const std::optional<std::uint64_t> broken = firstInvalidRecord(records);
    print(arguments, {{"records", records.size()}, {"sound", !broken}, {"firstBroken", broken ? Json(*broken) : Json(nullptr)}});
    return broken ? ExitFailed : ExitOk;
}

// ---- Drain and watch ----

leaf::result<int> drain(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(id, numberArgument(arguments, "ID"));
    const bool vm = hasArgument(arguments, "vm");
    bool sent = false;
    for (const BalancerAddress &balancer : client.config().balancers) {
        if (vm && value(balancer.id) != id) {
            continue;
        }
        BOOST_LEAF_AUTO(balancerStatus, client.callBalancer(balancer, "GET", "/v1/status"));
        const BalancerKey key{balancer.id, Incarnation{balancerStatus["incarnation"].get<std::uint64_t>()}};
        const DrainOrder order{key, TargetId{vm ? 0 : static_cast<std::uint32_t>(id)}};
        BOOST_LEAF_AUTO(change, client.signWithConfiguredKey(encodeMessage(std::variant<DrainOrder>(order))));
        BOOST_LEAF_AUTO(response, client.callBalancer(balancer, "POST", "/v1/drain", {}, toApi(change).dump()));
        print(arguments, response);
        sent = true;
        break; // Gossip distributes the drain of a target to the other balancers.
    }
    return sent ? leaf::result<int>(ExitOk) : badInput("ID: no such balancer in the configuration");
}

leaf::result<int> watch(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(client, makeClient(arguments));
    BOOST_LEAF_AUTO(seconds, numberArgument(arguments, "--timeout"));
    std::map<std::uint64_t, std::uint64_t> seen;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        for (const BalancerAddress &balancer : client.config().balancers) {
            std::uint64_t &after = seen[value(balancer.id)];
            const Json events = leaf::try_handle_all(
                [&] {
                    return client.callBalancer(balancer, "GET", "/v1/events", "after=" + std::to_string(after));
                },
                [] {
                    return Json(Json::array());
                });
            for (Json event : events) {
                after = event["number"].get<std::uint64_t>();
                event["balancer"] = value(balancer.id);
                print(arguments, event);
            }
        }
        std::this_thread::sleep_for(WatchInterval);
    }
    return ExitOk;
}

// ---- Simulated targets, callers and fabric for tests ----

leaf::result<int> standin(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(text, readInputFile(stringArgument(arguments, "OPTIONS")));
    const Json json = parseStrictJson(text).value_or(nullptr);
    if (!json.is_object()) {
        return badInput(stringArgument(arguments, "OPTIONS") + ": not a JSON object");
    }
    try {
        if (hasArgument(arguments, "target")) {
            return runStandinTarget(json.get<StandinTargetOptions>());
        }
        if (hasArgument(arguments, "caller")) {
            return runStandinCaller(json.get<StandinCallerOptions>());
        }
        if (hasArgument(arguments, "verify")) {
            return verifyReports(json.get<StandinVerifyOptions>());
        }
        return runStandinFabric(json.get<StandinFabricOptions>());
    } catch (const std::exception &error) {
        return badInput(stringArgument(arguments, "OPTIONS") + ": " + error.what());
    }
}

leaf::result<int> dispatch(const CommandArguments &arguments)
{
    if (hasArgument(arguments, "standin")) {
        return standin(arguments);
    }
    if (hasArgument(arguments, "keygen")) {
        return keygen(arguments);
    }
    if (hasArgument(arguments, "bundle")) {
        return hasArgument(arguments, "check")  ? bundleCheck(arguments)
            : hasArgument(arguments, "sign")    ? bundleSign(arguments)
            : hasArgument(arguments, "propose") ? bundlePropose(arguments)
            : hasArgument(arguments, "approve") ? bundleApprove(arguments)
            : hasArgument(arguments, "show")    ? bundleShow(arguments)
            : hasArgument(arguments, "diff")    ? bundleDiff(arguments)
            : hasArgument(arguments, "pending") ? read(arguments, "/v1/proposals")
                                                : read(arguments, "/v1/history");
    }
    if (hasArgument(arguments, "rollout")) {
        return hasArgument(arguments, "watch") ? rolloutWatch(arguments)
                                               : rolloutUpdate(arguments, hasArgument(arguments, "stop") ? RolloutAction::Stop : RolloutAction::Continue);
    }
    if (hasArgument(arguments, "operator")) {
        return hasArgument(arguments, "set") ? operatorSet(arguments) : read(arguments, "/v1/operators");
    }
    if (hasArgument(arguments, "audit")) {
        return hasArgument(arguments, "verify") ? auditVerify(arguments) : auditTail(arguments);
    }
    if (hasArgument(arguments, "drain")) {
        return drain(arguments);
    }
    if (hasArgument(arguments, "load")) {
        return runLoadCommand(arguments);
    }
    return hasArgument(arguments, "status") ? status(arguments)
        : hasArgument(arguments, "targets") ? targets(arguments)
        : hasArgument(arguments, "flows")   ? flowsExplain(arguments)
                                            : watch(arguments);
}

} // namespace

int runCommand(const CommandArguments &arguments)
{
    return leaf::try_handle_all(
        [&] {
            return dispatch(arguments);
        },
        [](ClientError error, const ClientErrorMessage &message) {
            std::cerr << message.text << (message.text.ends_with('\n') ? "" : "\n");
            switch (error) {
            case ClientError::Unreachable:
                return ExitUnreachable;
            case ClientError::Refused:
                return ExitRefused;
            case ClientError::BadConfig:
            case ClientError::BadInput:
                break;
            }
            return ExitBadInput;
        },
        [] {
            std::cerr << "failed\n";
            return ExitFailed;
        });
}

} // namespace Robinrail
