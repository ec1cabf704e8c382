// SPDX-License-Identifier: MIT
// Load report: from a balancer's targets and counters through its metrics to the report of `robinrail load`.
#include "load_report.h"
#include "prometheus_text.h"
#include "steering_balancer.h"
#include "steering_metrics.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto ServingIndex = static_cast<std::size_t>(SteeredTargetState::Serving);
constexpr auto SuspectIndex = static_cast<std::size_t>(SteeredTargetState::Suspect);

SteeringSettings settingsOf(const std::string &node, const std::string &dataCentre = "ebene")
{
    SteeringSettings settings;
    settings.node = node;
    settings.dataCentres = {"ebene", "port-louis"};
    settings.dataCentre = dataCentre;
    return settings;
}

std::string metricsOf(const SteeringBalancer &balancer, const SteeringSettings &settings = settingsOf("edge-1"), bool ready = true)
{
    SteeringNodeCounters counters;
    counters.ready = ready;
    PrometheusWriter text;
    writeSteeringMetrics(text, balancer.now, settings, counters, balancer.steering);
    return text.text();
}

BalancerLoad loadOf(const SteeringBalancer &balancer, const SteeringSettings &settings = settingsOf("edge-1"), bool ready = true)
{
    std::string reason;
    std::optional<BalancerLoad> load = parseBalancerLoad(metricsOf(balancer, settings, ready), reason);
    REQUIRE_MESSAGE(load, reason);
    REQUIRE(parseExcludedTargets(excludedTargetsJson(balancer.now, settings, balancer.steering), *load));
    return *load;
}

double countOf(const BalancerLoad &load, const ServiceLocation &location, SteeredTargetState state)
{
    return load.pools.at(location).targets[static_cast<std::size_t>(state)];
}

// A balancer's load with one pool, as if parsed.
BalancerLoad poolLoad(const std::string &node, double serving, double suspect)
{
    BalancerLoad load;
    load.node = node;
    load.dataCentre = "ebene";
    load.ready = true;
    BalancerLoad::Pool &pool = load.pools[{"quotes", "ebene"}];
    pool.targets[ServingIndex] = serving;
    pool.targets[SuspectIndex] = suspect;
    pool.slots[ServingIndex] = 2 * serving;
    pool.slots[SuspectIndex] = 2 * suspect;
    return load;
}

} // namespace

// ---- Text format ----

// Guards against metrics that no program can read, as a service's name may contain any character.
TEST_CASE("labels with any characters are read back as they were written")
{
    const std::string name = "a \"quoted\" \\name\\ with {braces}, a=b and\na line";
    PrometheusWriter writer;
    writer.gauge("first", "help", 0.25, prometheusLabel("service", name) + ',' + prometheusLabel("other", ""));
    writer.counter("second", "help", 7);
    std::vector<PrometheusSample> samples;
    REQUIRE(readPrometheusText(writer.text(), [&](const PrometheusSample &sample) {
        samples.push_back(sample);
    }));
    REQUIRE(samples.size() == 2);
    CHECK(samples[0].labels.at("service") == name);
    CHECK(samples[0].labels.at("other").empty());
    CHECK(samples[0].number == 0.25);
    CHECK(samples[1].number == 7);
}

// Guards against a large counter that seems to stand still, as only its first 6 digits were written.
TEST_CASE("counters are written with all their digits")
{
    PrometheusWriter writer;
    writer.counter("flows_total", "help", 1'234'567'891);
    CHECK(writer.text().find("flows_total 1234567891\n") != std::string::npos);
}

// Guards against a text that Prometheus refuses, which demands that the samples of a metric follow each other.
TEST_CASE("the samples of each metric of a balancer follow each other")
{
    SteeringBalancer balancer;
    balancer.open(1);
    std::set<std::string> seen;
    std::string last;
    REQUIRE(readPrometheusText(metricsOf(balancer), [&](const PrometheusSample &sample) {
        if (sample.name != last) {
            last = sample.name;
            CHECK_MESSAGE(seen.insert(last).second, last);
        }
    }));
}

// Guards against an input that terminates the command: a balancer's answer may be cut off or of another program.
TEST_CASE("damaged answers are refused without an exception")
{
    SteeringBalancer balancer;
    const std::string metrics = metricsOf(balancer);
    const std::string excluded = excludedTargetsJson(balancer.now, settingsOf("edge-1"), balancer.steering);
    CHECK(rc::check([&] {
        const auto damage = [](std::string text) {
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
            for (int i = *rc::gen::inRange(0, 4); i > 0 && !text.empty(); --i) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            return text;
        };
        std::string reason;
        if (std::optional<BalancerLoad> load = parseBalancerLoad(damage(metrics), reason)) {
            parseExcludedTargets(damage(excluded), *load);
            loadReportText(makeLoadReport({&*load, 1}, {}, 2));
        } else {
            RC_ASSERT(!reason.empty());
        }
    }));
    std::string reason;
    CHECK(!parseBalancerLoad("robinrail_flows 12\n", reason));
    CHECK(!parseBalancerLoad("{}", reason));
    BalancerLoad load;
    CHECK(!parseExcludedTargets(R"({"total": 1, "targets": [{"target": 5}]})", load));
}

// ---- States of targets ----

// Guards against targets that count in several states or in none.
TEST_CASE("each target counts once, in its most severe state")
{
    SteeringBalancer balancer;
    TargetRecord draining = targetOf(104, "quotes");
    draining.phase = TargetPhase::Draining;
    balancer.take(draining);
    TargetRecord warming = targetOf(105, "quotes");
    warming.warmupLeft = seconds(2);
    balancer.take(warming);
    balancer.take(targetOf(106, "quotes"), true); // Silent.
    TargetRecord left = targetOf(107, "quotes");
    left.phase = TargetPhase::Left;
    balancer.take(left);
    balancer.take(targetOf(108, "quotes"));
    balancer.now += seconds(60);
    balancer.take(warming);
    balancer.steering.targets().declareGone(balancer.now, {TargetKey{108}, 0});
    SteeredTarget &suspect = *balancer.steering.targets().find(SteeringTargets::tokenOf(TargetKey{101}));
    balancer.steering.targets().markSuspect(balancer.now, suspect);
    warming.sequence = 2;
    balancer.take(warming);

    const BalancerLoad load = loadOf(balancer);
    const ServiceLocation local{"quotes", "ebene"};
    CHECK(countOf(load, local, SteeredTargetState::Serving) == 1);
    CHECK(countOf(load, local, SteeredTargetState::WarmingUp) == 1);
    CHECK(countOf(load, local, SteeredTargetState::Suspect) == 1);
    CHECK(countOf(load, local, SteeredTargetState::Draining) == 1);
    CHECK(countOf(load, local, SteeredTargetState::Silent) == 1);
    CHECK(countOf(load, local, SteeredTargetState::Gone) == 1);
    CHECK(countOf(load, {"quotes", "port-louis"}, SteeredTargetState::Serving) == 1);
    CHECK(countOf(load, {"decks", "ebene"}, SteeredTargetState::Serving) == 1);
    CHECK(load.pools.size() == 3);
    CHECK(load.excludedTotal == 4); // Without the one that warms up, as its service does not limit the rate meanwhile.
    REQUIRE(load.excluded.size() == 4);
    CHECK(load.excluded[0].target == "108");
    CHECK(load.excluded[0].reason == "gone");
    CHECK(load.excluded[0].address == "0.0.0.108:8080");
    CHECK(load.excluded[1].reason == "silent");
    CHECK(load.excluded[2].reason == "draining");
    CHECK(load.excluded[3].reason == "suspect");
}

// Guards against an operator who looks for missing capacity where a data centre is drained or targets are cold.
TEST_CASE("targets of a drained data centre and cold targets are excluded with their reasons")
{
    SteeringBalancer balancer;
    RoutingTable table = tableOf(2);
    table.warmups = {{seconds(5), true}, {}};
    balancer.steering.apply(table);
    TargetRecord warming = targetOf(105, "quotes");
    warming.warmupLeft = seconds(2);
    balancer.take(warming);
    balancer.steering.setDrained(balancer.now, std::array{RemoteDataCentre});
    const BalancerLoad load = loadOf(balancer);
    CHECK(countOf(load, {"quotes", "port-louis"}, SteeredTargetState::DataCentreDrained) == 1);
    REQUIRE(load.excluded.size() == 2);
    CHECK(load.excluded[0].target == "103");
    CHECK(load.excluded[0].reason == "data-centre-drained");
    CHECK(load.excluded[1].target == "105");
    CHECK(load.excluded[1].reason == "warming-up");
}

// Guards against answers that grow with the deployment.
TEST_CASE("excluded targets and groups of targets are bounded, and the rest is counted")
{
    SteeringBalancer balancer;
    for (std::uint64_t i = 0; i < 300; ++i) {
        balancer.take(targetOf(1000 + i, "service-" + std::to_string(i)), i % 2 == 0);
    }
    const BalancerLoad load = loadOf(balancer);
    CHECK(load.excluded.size() == MaxExcludedTargets);
    CHECK(load.excludedTotal == 150);
    CHECK(load.pools.size() == MaxTargetGroups);
    CHECK(load.uncountedTargets == 303 - MaxTargetGroups);
    const LoadReport report = makeLoadReport({&load, 1}, {}, 0);
    CHECK(report.excludedNotListed == 150 - MaxExcludedTargets);
    CHECK(loadReportText(report).find("uncounted-targets=175") != std::string::npos);
}

// ---- Flows and requests ----

// Guards against requests that are counted at another data centre or service than the targets'.
TEST_CASE("flows are counted by priority, and requests in progress by the targets' data centre")
{
    SteeringBalancer balancer;
    RoutingTable table = tableOf(2);
    table.objectives = {{3, milliseconds(400), seconds(4)}, {200, milliseconds(400), seconds(4)}};
    balancer.steering.apply(table);
    double remote = 0;
    for (std::uint32_t caller = 0; caller < 10; ++caller) {
        const SteeringDecision opening = balancer.open(caller);
        remote += opening.target == TargetKey{103} ? 1 : 0;
        balancer.sendPacket(caller, opening.token, 1, 1);
    }
    REQUIRE(remote > 0); // The two local targets have 4 slots.
    REQUIRE(remote < 10);
    balancer.open(100, 0, DeckRoute);
    balancer.open(100, 1, DeckRoute); // A copy is not a new flow.
    const BalancerLoad load = loadOf(balancer);
    CHECK(load.flows.at({"quotes", 3}).admitted == 10);
    CHECK(load.flows.at({"decks", MaxPriority}).admitted == 1);
    CHECK(load.pools.at({"quotes", "ebene"}).busy == 10 - remote);
    CHECK(load.pools.at({"quotes", "port-louis"}).busy == remote);
}

// Guards against counters that fall or move to another service when a document changes the services.
TEST_CASE("services keep their counts of flows in a new routing table")
{
    SteeringBalancer balancer;
    balancer.open(1);
    balancer.open(2, 0, DeckRoute);
    RoutingTable table = tableOf(2);
    table.services = {"added", "decks"};
    table.routes = {{QuoteRoute, {{0, 1}}}, {DeckRoute, {{1, 1}}}};
    balancer.steering.apply(table);
    balancer.open(3, 0, DeckRoute);
    const BalancerLoad load = loadOf(balancer);
    CHECK(load.flows.at({"decks", 0}).admitted == 2);
    CHECK(load.flows.count({"quotes", 0}) == 0);
    CHECK(load.flows.count({"added", 0}) == 0);
}

// Guards against a report of an overload that names no limit and no refused caller.
TEST_CASE("refused flows and limits of an overloaded service are in the report")
{
    SteeringBalancer balancer;
    RoutingTable table = tableOf(2);
    table.objectives = {{1, milliseconds(400), seconds(4)}, {}};
    balancer.steering.apply(table);
    std::uint64_t refused = 0;
    for (std::uint32_t caller = 0; caller < 1000; ++caller) { // Nobody answers for 10 s.
        const SteeringDecision opening = balancer.open(caller);
        refused += opening.reason == SteeringReason::Overloaded ? 1 : 0;
        if (opening.action == SteeringAction::Forward) {
            balancer.sendPacket(caller, opening.token, 1, 1);
        }
        balancer.now += milliseconds(10);
        balancer.steering.tick(balancer.now);
    }
    REQUIRE(refused > 0);
    const BalancerLoad load = loadOf(balancer);
    const LoadReport report = makeLoadReport({&load, 1}, {}, 0);
    const LoadReport::Row &row = report.rows.at({"quotes", "ebene"});
    CHECK(row.flows.at(1).refusedByPools == static_cast<double>(refused));
    CHECK(row.flows.at(1).admitted == static_cast<double>(1000 - refused));
    CHECK(row.limitingBalancers == 1);
    CHECK(row.limit > 0);
    CHECK(row.arrivals > row.limit);
    CHECK(loadReportText(report).find("limited-by=1") != std::string::npos);
}

// ---- Report of several balancers ----

// Guards against a sum of the balancers' views, which would count each target once per balancer.
TEST_CASE("views of several balancers become ranges, requests and limits become sums")
{
    std::vector<BalancerLoad> balancers = {poolLoad("edge-1", 40, 0), poolLoad("edge-2", 38, 2), poolLoad("edge-3", 10, 0)};
    balancers[2].ready = false; // Knows only a part of the directory.
    for (BalancerLoad &balancer : balancers) {
        BalancerLoad::Pool &pool = balancer.pools.begin()->second;
        pool.busy = 5;
        pool.arrivals = 30;
        balancer.flows[{"quotes", 1}] = {10, 2, 1};
    }
    balancers[0].pools.begin()->second.limit = 20;
    balancers[1].linkLimit = 50;
    balancers[1].linkUsed = 0.9;
    const LoadReport report = makeLoadReport(balancers, {{"10.0.0.9:8080", "did not respond"}}, 2);
    REQUIRE(report.rows.size() == 1);
    const LoadReport::Row &row = report.rows.begin()->second;
    CHECK(row.targets[ServingIndex].min == 38);
    CHECK(row.targets[ServingIndex].max == 40);
    CHECK(row.slots.min == 80);
    CHECK(row.slots.max == 80);
    CHECK(row.usableSlots.min == 76);
    CHECK(row.busy == 15);
    CHECK(row.limit == 20);
    CHECK(row.arrivals == 30); // Only of the balancer that has a limit.
    CHECK(row.limitingBalancers == 1);
    CHECK(row.flows.at(1).admitted == 30);
    CHECK(row.flows.at(1).refusedByPools == 6);
    CHECK(row.flows.at(1).refusedByLink == 3);
    CHECK(report.notReady == std::vector<std::string>{"edge-3"});
    const std::string text = loadReportText(report);
    CHECK(text.find("service=quotes data-centre=ebene serving=38..40 ") == 0);
    CHECK(text.find("link-limited=edge-2 data-centre=ebene used=90% limit=50 ") != std::string::npos);
    CHECK(text.find("not-ready=edge-3\n") != std::string::npos);
    CHECK(text.find("failed=10.0.0.9:8080 error=\"did not respond\"\n") != std::string::npos);
    CHECK(text.find("balancers=4 answered=3 flow-seconds=2\n") != std::string::npos);
    const nlohmann::json json = loadReportJson(report);
    CHECK(json["services"][0]["targets"]["serving"]["max"] == 40);
    CHECK(json["services"][0]["flows"]["1"]["refusedByLink"] == 3);
    CHECK(json["balancers"]["failed"][0]["balancer"] == "10.0.0.9:8080");
    CHECK(json["limitedLinks"][0]["node"] == "edge-2");
}

// Guards against an exclusion that looks like a fault of the target where only one balancer sees it.
TEST_CASE("excluded targets are listed once for each reason, with the number of balancers")
{
    const ExcludedTargetEntry suspect{"5", {"quotes", "ebene"}, "10.0.0.5:80", "suspect"};
    ExcludedTargetEntry silent = suspect;
    silent.reason = "silent";
    std::vector<BalancerLoad> balancers = {poolLoad("edge-1", 1, 0), poolLoad("edge-2", 1, 0), poolLoad("edge-3", 1, 0)};
    balancers[0].excluded = {suspect};
    balancers[1].excluded = {suspect};
    balancers[2].excluded = {silent};
    const LoadReport report = makeLoadReport(balancers, {}, 0);
    CHECK(report.excluded.size() == 2);
    CHECK(report.excluded.at(suspect) == 2);
    CHECK(report.excluded.at(silent) == 1);
}

// Guards against negative counts after a restart of a balancer between the two fetches.
TEST_CASE("flows are counted between two fetches, and since the start for a balancer that was restarted")
{
    BalancerLoad earlier = poolLoad("edge-1", 1, 0);
    earlier.flows[{"quotes", 0}] = {100, 50, 0};
    BalancerLoad later = earlier;
    later.flows[{"quotes", 0}] = {130, 55, 0};
    later.flows[{"quotes", 1}] = {7, 0, 0};
    subtractEarlierFlows(later, earlier);
    CHECK(later.flows.at({"quotes", 0}).admitted == 30);
    CHECK(later.flows.at({"quotes", 0}).refusedByPools == 5);
    CHECK(later.flows.at({"quotes", 1}).admitted == 7);
    BalancerLoad restarted = earlier;
    restarted.flows[{"quotes", 0}] = {3, 0, 0};
    subtractEarlierFlows(restarted, earlier);
    CHECK(restarted.flows.at({"quotes", 0}).admitted == 3);
    CHECK(restarted.flows.at({"quotes", 0}).refusedByPools == 0);
}
