// SPDX-License-Identifier: MIT
// Another writer sends heartbeats for a service that the manifest doesn't have, with the addresses of hosts. A core machine
// freezes for 3.5 s. Checks rule FLOW: once all machines are in touch again, no reset reaches a requester on an open flow
// that the flow's host didn't send.
#include "host.h"
#include "requesters.h"

#include <memory>

using namespace Review;

namespace {

constexpr int Hosts = 6;
constexpr int Flows = 36;
constexpr int FreezeMs = 3500;

// Another system's writer on the hosts' machines: heartbeats of its own ids, for a service that is not named here.
class OtherWriter
{
public:
    OtherWriter(Record &record, const Deployment &deployment)
        : m_record(record)
        , m_deployment(deployment)
    {
    }

    ~OtherWriter()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    OtherWriter(const OtherWriter &) = delete;
    OtherWriter &operator=(const OtherWriter &) = delete;

    void announce(const std::string &ip, std::uint64_t id)
    {
        m_threads.emplace_back([this, ip, id] {
            std::size_t node = static_cast<std::size_t>(id) % 3;
            std::string named;
            for (int sequence = 1; !m_stop; ++sequence) {
                char path[64];
                std::snprintf(path, sizeof(path), "/instances/i-%llx", static_cast<unsigned long long>(id));
                const std::string body = "{\"service\":\"backup-agent\",\"address\":\"" + ip + ":" + std::to_string(m_deployment.hostPort())
                    + "\",\"zone\":\"ktm-lalit\",\"version\":\"v1\",\"capacity\":1,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
                    + std::to_string(sequence) + "}";
                const std::string target = named.empty() ? m_deployment.ip(1 + static_cast<int>(node)) : named;
                const Answer answer = call(target, m_deployment.controlPort(), "PUT", path, body);
                m_record.line("other writer: heartbeat %d of i-%llx at %s -> %d", sequence, static_cast<unsigned long long>(id), target.c_str(), answer.status);
                if (answer.status != 200) {
                    named.clear();
                    node = (node + 1) % 3;
                    pause(50);
                    continue;
                }
                const std::size_t at = answer.body.find("http://");
                if (at != std::string::npos) {
                    named = answer.body.substr(at + 7, answer.body.find(':', at + 7) - at - 7);
                }
                for (int waited = 0; waited < HeartbeatMs && !m_stop; waited += 10) {
                    pause(10);
                }
            }
        });
    }

private:
    Record &m_record;
    const Deployment &m_deployment;
    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
};

int run(Record &record, Deployment &deployment, bool trouble)
{
    SmallDeployment small;
    small.start(deployment, 0);
    std::vector<Node *> zone;
    for (int i = 0; i < 2; ++i) {
        Node &node = deployment.add("edge-ktm-lalit-" + std::to_string(i + 1), SmallDeployment::Zones[0], 11 + i, false);
        node.seeds = small.cores.front()->seeds;
        deployment.start(node);
        zone.push_back(&node);
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < Hosts; ++i) {
        hosts.push_back(std::make_unique<Host>(record, deployment, "rate-desk", SmallDeployment::Zones[0], 31 + i, 0x5100 + i * 0x77));
    }
    hosts.push_back(std::make_unique<Host>(record, deployment, "doc-vault", SmallDeployment::Zones[0], 41, 0x5200));
    for (const auto &host : hosts) {
        if (!host->start()) {
            return NotRun;
        }
    }
    Operator person(record, deployment);
    for (const Node *core : small.cores) {
        person.nodes.push_back(core->ip);
    }
    const std::string route = "198.18.0.1";
    Answer last;
    if (person.send("PUT", "/config", manifest(7, route), 10000, last).empty()) {
        return NotRun;
    }
    Router router(record, deployment, zone);
    for (int waited = 0; !router.allIn(); waited += 50) {
        if (waited > 15000) {
            return NotRun;
        }
        pause(50);
    }
    Requesters requesters(record, deployment, router, route, 50);
    if (!requesters.start()) {
        return NotRun;
    }
    OtherWriter writer(record, deployment);
    pause(3000);
    if (trouble) {
        for (int i = 0; i < Hosts; ++i) {
            writer.announce(hosts[i]->ip(), 0xf100 + i);
            pause(60);
        }
    }
    pause(ContactMs);
    std::vector<FlowName> flows;
    for (int i = 0; i < Flows; ++i) {
        flows.push_back(requesters.open());
        pause(20);
    }
    pause(500);
    int answered = 0;
    for (const FlowName &flow : flows) {
        answered += requesters.answered(flow);
    }
    record.line("answered first requests: %d of %d", answered, Flows);
    if (answered < Flows / 2) {
        return NotRun;
    }
    // The hosts' heartbeats go to the core machine of their zone.
    if (trouble) {
        record.line("trouble: %s freezes", small.cores[0]->name.c_str());
        Deployment::sendSignal(*small.cores[0], SIGSTOP);
        pause(FreezeMs);
        Deployment::sendSignal(*small.cores[0], SIGCONT);
        record.line("%s wakes", small.cores[0]->name.c_str());
    } else {
        pause(FreezeMs);
    }
    pause(ContactMs + 500);
    const std::size_t early = requesters.resets().size();
    record.line("all machines are in touch again; resets until now: %zu", early);
    std::map<FlowName, std::string> hostOf;
    for (const FlowName &flow : flows) {
        for (const auto &host : hosts) {
            if (host->holds(flow)) {
                hostOf[flow] = host->ip();
            }
        }
    }
    for (const FlowName &flow : flows) {
        requesters.request(flow);
        pause(20);
    }
    pause(2000);
    int broken = 0;
    const std::vector<Requesters::Reset> resets = requesters.resets();
    for (std::size_t i = early; i < resets.size(); ++i) {
        const auto host = hostOf.find(resets[i].name);
        if (host != hostOf.end() && host->second != resets[i].sender) {
            ++broken;
            record.line(
                "FLOW: flow %u is open at %s, and a reset from %s reached its requester", resets[i].name.first, host->second.c_str(), resets[i].sender.c_str());
        }
    }
    std::vector<FlowName> fresh;
    for (int i = 0; i < Flows; ++i) {
        fresh.push_back(requesters.open());
        pause(20);
    }
    pause(2000);
    int served = 0;
    for (const FlowName &flow : fresh) {
        served += requesters.answered(flow) > 0 ? 1 : 0;
    }
    record.line("new flows that were served at the end: %d of %d", served, Flows);
    int second = 0;
    for (const FlowName &flow : flows) {
        second += requesters.answered(flow) >= 2 ? 1 : 0;
    }
    record.line("answered second requests: %d of %zu open flows; flows with a foreign reset: %d", second, hostOf.size(), broken);
    return broken > 0 ? Broken : Held;
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
