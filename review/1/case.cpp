// SPDX-License-Identifier: MIT
// Planned replacement of a core machine: the new one runs for six seconds, longer than catch_up_s, before the old one gets
// SIGTERM for good. Right after that a change of the manifest is acknowledged, and the final fault falls: the machine that
// acknowledged it loses its disk and all others lose power; all are back within a second. Checks that what was acknowledged
// can be read back and that service recovers.
#include "flows.h"

#include <memory>

using namespace Review;

namespace {

constexpr int OldVersion = 7;
constexpr int NewVersion = 11;
constexpr int ReadBackMs = 30000;

struct Case {
    Record &record;
    Deployment &deployment;
    bool trouble = true;
    SmallDeployment small;
    Node *successor = nullptr;
    std::string route = "198.18.0.1";

    // The machine with an address, of those that still exist.
    Node *machine(const std::string &ip)
    {
        for (Node *node : {small.cores[0], small.cores[1], successor}) {
            if (node->ip == ip) {
                return node;
            }
        }
        return nullptr;
    }

    bool replaceCore(Operator &person)
    {
        Node *retired = small.cores[2];
        successor = &deployment.add("core-4", retired->zone, 4, true);
        successor->firstStart = false;
        successor->seeds = retired->seeds;
        deployment.start(*successor);
        pause(CatchUpMs + 2000);
        person.nodes = {small.cores[0]->ip, small.cores[1]->ip, successor->ip};
        // It takes part: it answers a read, or names the leader.
        const Answer answer = call(successor->ip, deployment.controlPort(), "GET", "/config");
        record.line("planned work: %s runs since %d ms, its GET /config -> %d; %s gets SIGTERM and is taken away",
                    successor->name.c_str(),
                    CatchUpMs + 2000,
                    answer.status,
                    retired->name.c_str());
        deployment.terminate(*retired);
        return answer.status == 200 || answer.status == 307;
    }

    // The final fault: the machine loses its disk, and all others lose power.
    void strike(Node &acked)
    {
        std::vector<Node *> all = {small.cores[0], small.cores[1], successor};
        all.insert(all.end(), small.balancers.begin(), small.balancers.end());
        for (Node *node : all) {
            deployment.killNode(*node);
        }
        if (trouble) {
            fs::remove_all(deployment.dataFolder(acked));
        }
        record.line("final fault: %s %s, all other machines lost power", acked.name.c_str(), trouble ? "lost its disk" : "lost power too");
        pause(800);
        for (Node *node : all) {
            deployment.start(*node);
        }
    }

    int run()
    {
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
        if (person.send("PUT", "/config", manifest(OldVersion, route), 10000, last).empty()) {
            return NotRun;
        }
        Router router(record, deployment, small.balancers);
        Requesters requesters(record, deployment, router, route, 50);
        for (int waited = 0; !router.allIn(); waited += 50) {
            if (waited > 15000) {
                return NotRun;
            }
            pause(50);
        }
        if (!requesters.start()) {
            return NotRun;
        }
        std::vector<FlowName> before;
        for (int i = 0; i < 10; ++i) {
            before.push_back(requesters.open());
            pause(100);
        }
        pause(ContactMs);
        if (!replaceCore(person)) {
            return NotRun;
        }
        const std::string acked = person.send("PUT", "/config", manifest(NewVersion, route), 5000, last);
        record.line("operator: version %d acknowledged by %s", NewVersion, acked.empty() ? "nobody" : acked.c_str());
        if (acked.empty()) {
            return NotRun;
        }
        strike(*machine(acked));
        const double back = record.seconds();
        return judge(person, requesters, before, back);
    }

    int judge(Operator &person, Requesters &requesters, const std::vector<FlowName> &before, double back)
    {
        int servedBefore = 0;
        for (const FlowName &flow : before) {
            servedBefore += requesters.answered(flow) > 0 ? 1 : 0;
        }
        // Traffic goes on: requests sent more than recovery_s after the machines are back.
        std::vector<FlowName> after;
        std::thread traffic([&] {
            while (record.seconds() < back + RecoveryMs / 1000.0 + 1) {
                pause(50);
            }
            for (int i = 0; i < 40; ++i) {
                after.push_back(requesters.open());
                pause(200);
            }
            pause(2000);
        });
        Answer last;
        const std::string reader = person.send("GET", "/config", {}, ReadBackMs, last);
        const int held = reader.empty() ? 0 : versionOf(last.body);
        record.line("operator: reads back version %d from %s, %.1f s after the machines were back",
                    held,
                    reader.empty() ? "nobody" : reader.c_str(),
                    record.seconds() - back);
        const std::string next = person.send("PUT", "/config", manifest(NewVersion + 4, route), 10000, last);
        record.line("operator: version %d acknowledged by %s", NewVersion + 4, next.empty() ? "nobody" : next.c_str());
        traffic.join();
        int servedAfter = 0;
        for (const FlowName &flow : after) {
            servedAfter += requesters.answered(flow) > 0 ? 1 : 0;
        }
        int ready = 0;
        for (const Node *balancer : small.balancers) {
            ready += deployment.ready(*balancer) ? 1 : 0;
        }
        record.line("served before: %d of %zu; served after recovery_s: %d of %zu; balancers ready: %d of %zu",
                    servedBefore,
                    before.size(),
                    servedAfter,
                    after.size(),
                    ready,
                    small.balancers.size());
        const bool lost = held < NewVersion;
        const bool stopped = servedBefore * 4 >= static_cast<int>(before.size()) && servedAfter * 4 < static_cast<int>(after.size());
        record.line("CONFIG (read back at the end): %s; RECOVER: %s", lost ? "broken" : "held", stopped ? "broken" : "held");
        return lost || stopped ? Broken : Held;
    }
};

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
    Case planned{record, deployment, std::string(argv[4]) != "0", {}, nullptr};
    const int code = planned.run();
    record.line("result: %s", code == Held ? "held" : code == Broken ? "broken" : "not run");
    return code;
}
