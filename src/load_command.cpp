// SPDX-License-Identifier: MIT
// Load command: implementation.
#include "load_command.h"

#include "command_arguments.h"
#include "load_report.h"
#include "operator_client.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <iostream>
#include <set>
#include <thread>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// A balancer with 0.04 of a core and a full link of 2 Mbit/s needs up to a second for its metrics.
constexpr std::chrono::seconds FetchTimeout{5};

// Few enough for the usual limit of 1,024 descriptors.
constexpr std::size_t MaxConcurrentFetches = 64;

constexpr std::uint64_t MaxFlowSeconds = 3600;

constexpr unsigned HttpOk = 200;

// The balancers given as arguments, or else those of the configuration file.
leaf::result<std::vector<Endpoint>> balancerEndpoints(const CommandArguments &arguments)
{
    std::vector<Endpoint> endpoints;
    if (const auto at = arguments.find("BALANCER"); at != arguments.end() && at->second.isStringList()) {
        for (const std::string &text : at->second.asStringList()) {
            const std::optional<Endpoint> endpoint = parseEndpoint(text);
            if (!endpoint) {
                return badInput("BALANCER: found \"" + text + "\", expected an address and port such as 127.0.0.1:8080");
            }
            endpoints.push_back(*endpoint);
        }
    }
    if (endpoints.empty()) {
        const std::string path = stringArgument(arguments, "--config", "robinrail.json");
        BOOST_LEAF_AUTO(config, loadClientConfig(path));
        for (const BalancerAddress &balancer : config.balancers) {
            endpoints.push_back(balancer.admin);
        }
        if (endpoints.empty()) {
            return badInput(path + ": no balancers");
        }
    }
    std::set<Endpoint> seen;
    for (const Endpoint endpoint : endpoints) {
        if (!seen.insert(endpoint).second) {
            return badInput(toText(endpoint) + ": given twice, its flows would be counted twice");
        }
    }
    return endpoints;
}

using Responses = std::vector<std::optional<std::string>>; // Bodies; empty without a response of status 200.

// Requests a path from all balancers, some at a time.
Responses fetchAll(const std::vector<Endpoint> &endpoints, const std::string &path)
{
    boost::asio::io_context io;
    Responses responses(endpoints.size());
    std::size_t next = 0;
    std::function<void()> startNext = [&] {
        if (next == endpoints.size()) {
            return;
        }
        const std::size_t index = next++;
        startHttpRequest(io, endpoints[index], {"GET", path, {}, {}, {}}, FetchTimeout, [&, index](std::optional<HttpResponse> response) {
            if (response && response->status == HttpOk) {
                responses[index] = std::move(response->body);
            }
            startNext();
        });
    };
    for (std::size_t i = 0; i < MaxConcurrentFetches; ++i) {
        startNext();
    }
    io.run();
    return responses;
}

// The load of one balancer from its answers. `earlier`: null if flows are counted since the start.
std::optional<BalancerLoad>
readLoad(const std::optional<std::string> &metrics, const std::optional<std::string> &excluded, const std::optional<std::string> *earlier, std::string &reason)
{
    if (!metrics || (earlier != nullptr && !*earlier)) {
        reason = "did not respond";
        return std::nullopt;
    }
    std::optional<BalancerLoad> load = parseBalancerLoad(*metrics, reason);
    if (load && (!excluded || !parseExcludedTargets(*excluded, *load))) {
        reason = excluded ? "the list of excluded targets is malformed" : "did not list its excluded targets";
        return std::nullopt;
    }
    if (load && earlier != nullptr) {
        const std::optional<BalancerLoad> before = parseBalancerLoad(**earlier, reason);
        if (!before) {
            return std::nullopt;
        }
        subtractEarlierFlows(*load, *before);
    }
    return load;
}

} // namespace

leaf::result<int> runLoadCommand(const CommandArguments &arguments)
{
    BOOST_LEAF_AUTO(endpoints, balancerEndpoints(arguments));
    BOOST_LEAF_AUTO(seconds, numberArgument(arguments, "--over"));
    if (seconds > MaxFlowSeconds) {
        return badInput("--over: found " + std::to_string(seconds) + ", expected at most " + std::to_string(MaxFlowSeconds) + " seconds");
    }
    Responses earlier;
    const auto started = std::chrono::steady_clock::now();
    if (seconds > 0) {
        earlier = fetchAll(endpoints, "/metrics");
        std::this_thread::sleep_until(started + std::chrono::seconds(seconds));
    }
    const std::chrono::duration<double> flowTime = std::chrono::steady_clock::now() - started;
    const Responses metrics = fetchAll(endpoints, "/metrics");
    const Responses excluded = fetchAll(endpoints, "/excluded-targets");
    std::vector<BalancerLoad> loads;
    std::vector<FailedBalancer> failed;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        std::string reason;
        if (std::optional<BalancerLoad> load = readLoad(metrics[i], excluded[i], seconds > 0 ? &earlier[i] : nullptr, reason)) {
            loads.push_back(std::move(*load));
        } else {
            failed.push_back({toText(endpoints[i]), reason});
        }
    }
    const LoadReport report = makeLoadReport(loads, std::move(failed), seconds > 0 ? flowTime.count() : 0);
    if (hasArgument(arguments, "--json")) {
        std::cout << loadReportJson(report).dump(2) << '\n';
    } else {
        std::cout << loadReportText(report);
    }
    return report.failed.empty() ? ExitOk : ExitUnreachable;
}

} // namespace Robinrail
