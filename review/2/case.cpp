// SPDX-License-Identifier: MIT
// Heartbeats of another writer whose bytes can't be read: one byte of the call's path is damaged. The writer keeps to the
// protocol: a heartbeat every heartbeat_ms, and after a failure the next node is called. Checks rule Fault: processes don't
// end by themselves, and orders of the operator keep being acknowledged.
#include "host.h"
#include "requesters.h"

#include <memory>

using namespace Review;

namespace {

constexpr int PlayMs = 40000;
constexpr int RestartMs = 500; // A process that ended is started again after a short delay.

// Rule Fault: processes of half of the core end by themselves three times in the day.
constexpr int ExitsOfFault = 3;

// Sends heartbeats until it is told to stop.
void writeForeignHeartbeats(Record &record, const Deployment &deployment, const std::vector<Node *> &cores, const std::atomic<bool> &stop)
{
    // The first 's' of "instances" with its top bit set.
    const std::string path = "/in\xf3tances/i-7f3a91c2";
    std::size_t node = 0;
    for (int sequence = 1; !stop; ++sequence) {
        const std::string body = "{\"service\":\"rate-desk\",\"address\":\"" + deployment.ip(45)
            + ":8080\",\"zone\":\"ktm-lalit\",\"version\":\"v1\",\"capacity\":2,"
              "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
            + std::to_string(sequence) + "}";
        const Answer answer = call(cores[node]->ip, deployment.controlPort(), "PUT", path, body);
        record.line("other writer: heartbeat %d at %s -> %d", sequence, cores[node]->name.c_str(), answer.status);
        if (answer.status / 100 != 2) {
            node = (node + 1) % cores.size();
        }
        for (int waited = 0; waited < HeartbeatMs && !stop; waited += 10) {
            pause(10);
        }
    }
}

// Starts processes that ended again, as the platform does, and counts how often that happened.
void keepRunning(Record &record, Deployment &deployment, const std::vector<Node *> &nodes, const std::atomic<bool> &stop)
{
    std::map<Node *, Clock::time_point> startAt;
    while (!stop) {
        for (Node *node : nodes) {
            if (node->pid > 0 && Deployment::ended(*node)) {
                ++node->exits;
                record.line("platform: %s ended by itself with code %d, for the %d. time", node->name.c_str(), node->lastCode, node->exits);
                startAt[node] = Clock::now() + milliseconds(RestartMs);
            } else if (node->pid == 0 && Clock::now() >= startAt[node]) {
                deployment.start(*node);
            }
        }
        pause(5);
    }
}

int run(Record &record, Deployment &deployment, bool trouble)
{
    SmallDeployment small;
    small.start(deployment, 3);
    Host host(record, deployment, "rate-desk", SmallDeployment::Zones[0], 31, 0x5100);
    Host other(record, deployment, "doc-vault", SmallDeployment::Zones[1], 32, 0x5200);
    if (!host.start() || !other.start()) {
        return NotRun;
    }
    Operator person(record, deployment);
    for (const Node *core : small.cores) {
        person.nodes.push_back(core->ip);
    }
    Answer last;
    int version = 7;
    const std::string route = "198.18.0.1";
    if (person.send("PUT", "/config", manifest(version, route), 10000, last).empty()) {
        return NotRun;
    }
    pause(2000);

    std::atomic<bool> stop{false};
    std::vector<Node *> all = small.cores;
    all.insert(all.end(), small.balancers.begin(), small.balancers.end());
    std::thread platform([&] {
        keepRunning(record, deployment, all, stop);
    });
    std::thread writer([&] {
        if (trouble) {
            writeForeignHeartbeats(record, deployment, small.cores, stop);
        }
    });
    int orders = 0;
    int acknowledged = 0;
    const auto end = Clock::now() + milliseconds(PlayMs);
    while (Clock::now() < end) {
        version += 3;
        ++orders;
        const std::string acked = person.send("PUT", "/config", manifest(version, route), 5000, last);
        acknowledged += acked.empty() ? 0 : 1;
        record.line("operator: version %d acknowledged by %s", version, acked.empty() ? "nobody" : acked.c_str());
        pause(1500);
    }
    stop = true;
    platform.join();
    writer.join();

    int faulty = 0;
    for (const Node *core : small.cores) {
        record.line("%s ended by itself %d times", core->name.c_str(), core->exits);
        faulty += core->exits >= ExitsOfFault ? 1 : 0;
    }
    record.line("orders acknowledged: %d of %d; core machines with %d ends or more: %d of %zu", acknowledged, orders, ExitsOfFault, faulty, small.cores.size());
    return faulty * 2 >= static_cast<int>(small.cores.size()) ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        return NotRun;
    }
    ::alarm(115);
    Record record(argv[3]);
    Deployment deployment(record, argv[1], argv[2]);
    if (!deployment.chooseAddresses()) {
        return NotRun;
    }
    const int code = run(record, deployment, std::string(argv[4]) != "0");
    record.line("result: %s", code == Held ? "held" : code == Broken ? "broken" : "not run");
    return code;
}
