// SPDX-License-Identifier: MIT
// Benchmark: a fixed workload in virtual time, baselines for comparison, and the hot path in real time.
//
// The last line, "Bench: N", is a signature of the deterministic figures. It is the same on every run: a pure
// refactoring keeps it, a functional change alters it.
#include "hash.h"
#include "simulation.h"
#include "target_choice.h"

#include <benchmark/benchmark.h>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace Robinrail;
using Json = nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr const char *Usage = R"(robinrail-bench: measures policies in virtual time and the hot path in real time.

Usage:
  robinrail-bench [--seed=N] [--bounds=FILE] [--timed] [--quick]
  robinrail-bench (-h | --help)

Options:
  --seed=N       Seed of the virtual time [default: 1].
  --bounds=FILE  Check the deterministic figures against the bounds in this JSON file.
  --timed        Time the hot path, too.
  --quick        Only the signature, without the comparison of policies.
  -h --help      Show this text.
)";

struct Row {
    std::string name;
    SimulationResult result;
};

std::uint64_t unknownOutcomes(const SimulationResult &result)
{
    return result.outcomes[static_cast<std::size_t>(Outcome::OutcomeUnknown)];
}

double milliseconds(Duration duration)
{
    constexpr double PerMillisecond = 1000;
    return static_cast<double>(duration.count()) / PerMillisecond;
}

void printHeader()
{
    std::cout << std::left << std::setw(38) << "scenario" << std::right << std::setw(7) << "sent" << std::setw(7) << "answ" << std::setw(7) << "notrun"
              << std::setw(6) << "unkn" << std::setw(7) << "broken" << std::setw(6) << "twice" << std::setw(6) << "false" << std::setw(6) << "wrong"
              << std::setw(6) << "late" << std::setw(7) << "imbal" << std::setw(6) << "occ99" << std::setw(8) << "goodput" << std::setw(7) << "p50ms"
              << std::setw(7) << "p99ms" << std::setw(8) << "retries" << std::setw(7) << "ctlB/s" << '\n';
}

void print(const Row &row)
{
    const SimulationResult &result = row.result;
    std::cout << std::left << std::setw(38) << row.name << std::right << std::setw(7) << result.sent << std::setw(7) << result.outcomes[0] << std::setw(7)
              << result.outcomes[1] << std::setw(6) << unknownOutcomes(result) << std::setw(7) << result.brokenFlows << std::setw(6) << result.runTwice
              << std::setw(6) << result.falseNotRun << std::setw(6) << result.wrongAnswers << std::setw(6) << result.lateWork << std::fixed
              << std::setprecision(3) << std::setw(7) << result.imbalance << std::setprecision(2) << std::setw(6) << result.occupancyP99 << std::setprecision(3)
              << std::setw(8) << result.goodput << std::setprecision(0) << std::setw(7) << milliseconds(result.p50) << std::setw(7) << milliseconds(result.p99)
              << std::setw(8) << result.retries << std::setw(7) << result.controlBytesPerSecond << '\n';
}

// ---- Scenarios ----

struct Scenario {
    std::string name;
    SimulationOptions options;
};

std::vector<Scenario> makeScenarios(const std::string &deploymentName, const SimulatedDeployment &deployment, std::uint64_t seed)
{
    SimulationOptions base;
    base.deployment = deployment;
    base.seed = seed;
    base.load = 0.6;
    std::vector<Scenario> scenarios;
    const auto add = [&](const std::string &name, const std::function<void(SimulationOptions &)> &change) {
        SimulationOptions options = base;
        change(options);
        scenarios.push_back({deploymentName + " " + name, options});
    };
    for (const double load : {0.0, 0.5, 0.9, 1.2, 2.0}) {
        std::ostringstream name;
        name << "load " << std::fixed << std::setprecision(1) << load;
        add(name.str(), [load](SimulationOptions &options) {
            options.load = load;
        });
    }
    add("stop all 8 balancers in turn", restartBalancersInTurn);
    add("replace all 18 targets in turn", replaceTargetsInTurn);
    add("kill a balancer", [](SimulationOptions &options) {
        options.faults = {{seconds(5), FaultKind::KillBalancer, 3}};
    });
    add("freeze a balancer for 10 s", [](SimulationOptions &options) {
        options.faults = {{seconds(5), FaultKind::FreezeBalancer, 3}, {seconds(15), FaultKind::UnfreezeBalancer, 3}};
    });
    add("cut a data centre for 10 s", [](SimulationOptions &options) {
        options.faults = {{seconds(5), FaultKind::IsolateDataCentre, 1}, {seconds(15), FaultKind::ReconnectDataCentre, 1}};
    });
    add("kill a target, silence another", [](SimulationOptions &options) {
        options.faults = {{seconds(5), FaultKind::KillTarget, 1}, {seconds(8), FaultKind::SilenceTarget, 2}};
    });
    add("10% lost, doubled, late", dropDuplicateAndDelay);
    add("all together", combineAllFaults);
    return scenarios;
}

// ---- Comparison of policies ----

template<SlotPolicy Policy>
void printPolicyRows(const char *name, const SimulatedDeployment &deployment, std::uint64_t seed)
{
    for (const double load : {0.5, 0.9, 1.2, 2.0}) {
        SimulationOptions options;
        options.deployment = deployment;
        options.seed = seed;
        options.load = load;
        std::ostringstream label;
        label << name << " " << load;
        print({label.str(), Simulation<Policy>(options).run()});
    }
}

void printCentralQueueAndBaselines(const SimulatedDeployment &deployment, std::uint64_t seed)
{
    constexpr Duration Length = seconds(30);
    constexpr Duration MaxWait = std::chrono::milliseconds(250);
    constexpr int Feeds = 40;
    for (const SimulatedService &service : deployment.services) {
        std::cout << "service " << value(service.id) << ", central queue (goodput, p50 ms, p99 ms) and baselines (goodput, imbalance, broken of 40):\n";
        for (const double load : {0.5, 0.9, 1.2, 2.0}) {
            const CentralQueueResult ideal = simulateCentralQueue(service, load, Length, MaxWait, seed);
            std::cout << std::setprecision(1) << "  load " << load << std::setprecision(3) << "  ideal " << ideal.goodput << std::setprecision(0) << " "
                      << milliseconds(ideal.p50) << " " << milliseconds(ideal.p99) << std::setprecision(3);
            const std::pair<const char *, BaselineKind> kinds[] = {
                {"hash", BaselineKind::PlainHash},
                {"round robin", BaselineKind::RoundRobin},
                {"random", BaselineKind::Random},
            };
            for (const auto &[name, kind] : kinds) {
                const BaselineResult baseline = simulateBaseline(kind, service, load, Length, Feeds, seed);
                std::cout << " | " << name << " " << baseline.goodput << " " << baseline.imbalance << " " << baseline.brokenFlows;
            }
            std::cout << '\n';
        }
    }
}

// ---- Bounds ----

// Returns 1 and prints a line if the figure is outside its bounds, otherwise 0.
int checkBound(const Row &row, const std::string &figure, double number, const Json &bound)
{
    const double lowest = bound.value("min", -1e300);
    const double highest = bound.value("max", 1e300);
    if (number >= lowest && number <= highest) {
        return 0;
    }
    std::cout << "out of bounds: " << row.name << ": " << figure << " is " << number << ", bounds " << bound.dump() << '\n';
    return 1;
}

int checkBounds(const std::vector<Row> &rows, const Json &bounds)
{
    int outside = 0;
    for (const Row &row : rows) {
        const SimulationResult &result = row.result;
        const std::pair<const char *, double> figures[] = {
            {"broken", static_cast<double>(result.brokenFlows)},
            {"runTwice", static_cast<double>(result.runTwice)},
            {"falseNotRun", static_cast<double>(result.falseNotRun)},
            {"wrongAnswers", static_cast<double>(result.wrongAnswers)},
            {"crossDeliveries", static_cast<double>(result.crossDeliveries)},
            {"lateWork", static_cast<double>(result.lateWork)},
            {"imbalance", result.imbalance},
            {"goodput", result.goodput},
            {"controlBytesPerSecond", result.controlBytesPerSecond},
            {"p99Ms", milliseconds(result.p99)},
        };
        for (const auto &[figure, number] : figures) {
            for (const std::string &scope : {std::string("*"), row.name}) {
                if (bounds.contains(scope) && bounds[scope].contains(figure)) {
                    outside += checkBound(row, figure, number, bounds[scope][figure]);
                }
            }
        }
    }
    return outside;
}

// ---- Hot path, timed ----

constexpr std::size_t MeasuredFlows = 300'000;

// A balancer with 8 members in its cluster and 14 targets.
struct BalancerFixture {
    BalancerFixture()
        : core(settings())
    {
        const ServiceSettings services[] = {{ServiceId{1}, "rate-desk"}};
        core.applyBundle(now, 1, services);
        for (std::uint32_t id = 1; id <= 14; ++id) {
            Announcement announcement;
            announcement.target = TargetId{id};
            announcement.service = ServiceId{1};
            announcement.endpoint = {id, 9000};
            announcement.incarnation = Incarnation{1};
            announcement.sequence = 1;
            announcement.slots = 3;
            announcement.connections = 60000;
            core.handleTarget(now, announcement.endpoint, announcement);
        }
        core.tick(now);
        core.takeOutbox();
    }

    static BalancerSettings settings()
    {
        BalancerSettings settings;
        settings.self = {BalancerId{1}, Incarnation{1'700'000'000'000}};
        settings.connectionIdKeys = {{1, {1}}};
        for (std::uint16_t id = 1; id <= 8; ++id) {
            settings.peers.push_back({BalancerId{id}, {id, 5000}});
        }
        return settings;
    }

    TimePoint now{std::chrono::hours(1)};
    BalancerCore<PartitionedSlots> core;
};

BalancerFixture &sharedBalancer()
{
    static BalancerFixture hot;
    return hot;
}

void timeEstablished(benchmark::State &state)
{
    const BalancerFixture &hot = sharedBalancer();
    const SealedConnectionId sealed = hot.core.context().sealer.seal({ServiceId{1}, TargetId{1}, hot.core.context().peers.self(), FlowId{1}});
    for (auto _ : state) {
        benchmark::DoNotOptimize(hot.core.route(sealed, ServiceId{1}));
    }
}

void timePlainHash(benchmark::State &state)
{
    std::uint64_t flow = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(hashPair(++flow, 0) % 14);
    }
}

void timeOpening(benchmark::State &state)
{
    BalancerFixture hot;
    std::uint64_t nonce = 0;
    for (auto _ : state) {
        hot.core.handleCaller(hot.now, ServiceId{1}, {7, 7}, OpenFlow{++nonce});
        benchmark::DoNotOptimize(hot.core.takeOutbox());
    }
}

void timeAdmission(benchmark::State &state)
{
    BalancerFixture hot;
    hot.core.handleCaller(hot.now, ServiceId{1}, {7, 7}, OpenFlow{1});
    const auto opened = std::get<FlowOpened>(hot.core.takeOutbox().front().message);
    std::uint32_t request = 0;
    for (auto _ : state) {
        hot.core.handleCaller(hot.now, ServiceId{1}, {7, 7}, Request{opened.connectionId, RequestId{++request}, false, seconds(1), Bytes(64)});
        for (const Outgoing &outgoing : hot.core.takeOutbox()) {
            if (const auto *run = std::get_if<RunRequest>(&outgoing.message)) {
                hot.core.handleTarget(hot.now, outgoing.to, RunPart{run->attempt, 0, 1, {}});
            }
        }
        hot.core.takeOutbox();
        hot.now += Duration(100);
        if (request % 100 == 0) {
            hot.core.tick(hot.now);
        }
    }
}

void timeFeedChoice(benchmark::State &state)
{
    BalancerFixture &hot = sharedBalancer();
    std::uint64_t flow = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseFeedTarget(hot.core.context().targets.targets(), ServiceId{1}, FlowId{++flow}, 8, std::nullopt, hot.now));
    }
}

void timeDecoding(benchmark::State &state)
{
    const Bytes bytes = encodeMessage(Message(Request{{}, RequestId{1}, false, seconds(1), Bytes(64)}));
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeMessage<Message>(bytes));
    }
}

// Heap bytes per flow in the flow table, beside the plain size of an entry.
void measureFlowMemory(benchmark::State &state)
{
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        FlowTable table;
        for (std::uint64_t flow = 1; flow <= MeasuredFlows; ++flow) {
            table.insert(FlowId{hashPair(flow, 1)}, Flow{});
        }
        const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
        state.counters["bytes_per_flow"] = static_cast<double>(after - before) / MeasuredFlows;
        state.counters["bytes_of_record"] = sizeof(Flow) + sizeof(FlowId);
    }
}

void runTimed()
{
    benchmark::RegisterBenchmark("baseline: plain hash of the flow", timePlainHash);
    benchmark::RegisterBenchmark("route an established flow", timeEstablished);
    benchmark::RegisterBenchmark("open a flow", timeOpening);
    benchmark::RegisterBenchmark("admit, send and answer a request", timeAdmission);
    benchmark::RegisterBenchmark("choose a feed target of 14", timeFeedChoice);
    benchmark::RegisterBenchmark("decode a request", timeDecoding);
    benchmark::RegisterBenchmark("memory of 300,000 flows", measureFlowMemory)->Iterations(1);
    benchmark::RunSpecifiedBenchmarks();
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    if (sodium_init() < 0) {
        return 1;
    }
    const std::uint64_t seed = std::strtoull(arguments.at("--seed").asString().c_str(), nullptr, 10);
    if (arguments.at("--timed").asBool()) {
        int argumentCount = 1;
        benchmark::Initialize(&argumentCount, argv);
        runTimed();
    }
    if (!arguments.at("--quick").asBool()) {
        printHeader();
        for (const auto &[deploymentName, deployment] : {std::pair("kathmandu", kathmandu()), std::pair("bogota", bogota())}) {
            std::cout << "-- " << deploymentName << ", ways to share slots\n";
            printPolicyRows<OptimisticSlots>("own counts", deployment, seed);
            printPolicyRows<PartitionedTargets>("dealt targets", deployment, seed);
            printPolicyRows<PartitionedSlotsNoOffload>("dealt slots alone", deployment, seed);
            printPolicyRows<PartitionedSlots>("dealt slots, offload", deployment, seed);
            printCentralQueueAndBaselines(deployment, seed);
        }
    }
    std::vector<Row> rows;
    std::uint64_t signature = 0;
    printHeader();
    for (const auto &[deploymentName, deployment] : {std::pair("kathmandu", kathmandu()), std::pair("bogota", bogota())}) {
        for (const Scenario &scenario : makeScenarios(deploymentName, deployment, seed)) {
            rows.push_back({scenario.name, Simulation<PartitionedSlots>(scenario.options).run()});
            signature = hashPair(signature, rows.back().result.signature());
            print(rows.back());
        }
    }
    int outside = 0;
    if (arguments.at("--bounds")) {
        std::ifstream file(arguments.at("--bounds").asString());
        outside = checkBounds(rows, Json::parse(file));
        std::cout << "figures out of bounds: " << outside << '\n';
    }
    std::cout << "Bench: " << signature % 1'000'000'000 << '\n';
    return outside == 0 ? 0 : 1;
}
