// SPDX-License-Identifier: MIT
// Case: some hosts are slow to answer opening packets while a balancer is stopped and started again as planned work, and the core
// machine that the balancers follow is frozen. Later the flows pass through the balancer that was started again.
//
// Arguments: network octet, work folder, process ids of balancer 0 and of control node 0. Environment: TROUBLE, RECORD.
#include "layout.h"
#include "process.h"

#include <csignal>
#include <sys/wait.h>

using namespace Review;

namespace {

constexpr unsigned Balancers = 3;
constexpr unsigned Hosts = 5;
constexpr unsigned SlowHosts = 2;
constexpr unsigned Requesters = 200;
constexpr std::uint16_t RequesterPort = 40001;
constexpr int BudgetMs = 1500;
constexpr long long SlowMs = 250; // Of an answer to an opening packet.
constexpr long long FirstOpeningMs = 350; // From SIGTERM to the first opening packet, and to the last one.
constexpr long long LastOpeningMs = 1150;
constexpr long long FreezeMs = 3000; // The site's list has 4.0 s.
constexpr long long ContactMs = 4000;
constexpr int CouldNotRun = 2;

} // namespace

int main(int argc, char **argv)
{
    began();
    if (argc != 5) {
        return CouldNotRun;
    }
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record::open(std::getenv("RECORD"));
    const Layout layout(static_cast<unsigned>(std::atoi(argv[1])));
    const std::string folder = argv[2];
    const pid_t balancer = std::atoi(argv[3]);
    const pid_t control = std::atoi(argv[4]);
    std::vector<std::unique_ptr<Host>> hosts;
    for (unsigned i = 0; i < Hosts; ++i) {
        hosts.push_back(
            std::make_unique<Host>("host-" + std::to_string(i), 0x7f3a9300 + i, "rate-desk", "ktm-lalit", layout.host(i), DatagramPort, layout.control()));
    }
    const HttpReply acknowledged = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(7, "rate-desk"), 40);
    Router router(layout.balancers(Balancers));
    const bool started = acknowledged.status == 200 && waitUntil(20000, [&] {
                             bool registered = true;
                             for (const auto &host : hosts) {
                                 registered = registered && host->registered();
                             }
                             return registered && router.allIn();
                         });
    if (!started) {
        Record::line("the deployment did not start");
        return CouldNotRun;
    }
    sleepMs(5000);

    const long long start = elapsedMs();
    if (trouble) {
        for (unsigned i = 0; i < SlowHosts; ++i) {
            hosts[i]->setSlow(SlowMs);
        }
        ::kill(control, SIGSTOP);
        ::kill(balancer, SIGTERM);
        Record::line("%u hosts answer opening packets after %lld ms; control node 0 is frozen; balancer 0 is stopped", SlowHosts, SlowMs);
    }
    std::vector<std::unique_ptr<Requester>> requesters;
    std::vector<std::string> hostOf(Requesters);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < Requesters; ++i) {
        requesters.push_back(std::make_unique<Requester>(layout.requester(i), router));
    }
    std::atomic<bool> restEnds = false;
    for (unsigned i = 0; i < Requesters; ++i) {
        threads.emplace_back([&, i] {
            sleepMs(FirstOpeningMs + (LastOpeningMs - FirstOpeningMs) * i / Requesters);
            std::string answer;
            if (requesters[i]->open(RequesterPort, Route) == Requester::Outcome::Answered
                && requesters[i]->request("first-" + std::to_string(i), BudgetMs, answer) == Requester::Outcome::Answered) {
                hostOf[i] = answer.substr(0, answer.find(' '));
            }
            while (!restEnds) {
                requesters[i]->rest(50);
            }
        });
    }
    if (trouble) {
        while (elapsedMs() - start < FreezeMs) {
            sleepMs(5);
        }
        ::kill(control, SIGCONT);
        for (unsigned i = 0; i < SlowHosts; ++i) {
            hosts[i]->setSlow(0);
        }
        Record::line("control node 0 runs again, and the hosts are well");
        startAgain(folder, "edge-0", "target/robinrail-platform-balancer");
        Record::line("balancer 0 is started again");
        if (!waitUntil(5000, [&] {
                return router.allIn();
            })) {
            Record::line("balancer 0 is not back");
            return CouldNotRun;
        }
    } else {
        sleepMs(FreezeMs);
    }
    sleepMs(ContactMs + 700);
    restEnds = true;
    for (std::thread &thread : threads) {
        thread.join();
    }

    unsigned broken = 0;
    unsigned open = 0;
    std::string answer;
    for (unsigned i = 0; i < Requesters; ++i) {
        if (hostOf[i].empty()) {
            continue;
        }
        ++open;
        const Requester::Outcome outcome = requesters[i]->request("second-" + std::to_string(i), BudgetMs, answer);
        const Address own = layout.host(static_cast<unsigned>(std::atoi(hostOf[i].substr(5).c_str())));
        if (outcome == Requester::Outcome::Reset && requesters[i]->lastSender() != own) {
            ++broken;
            Record::line("requester %u: flow open at %s, reset by %s, through balancer %zu",
                         i,
                         hostOf[i].c_str(),
                         requesters[i]->lastSender().text().c_str(),
                         requesters[i]->balancer());
        }
    }
    Record::line("%u of %u open flows were reset by another host or a balancer", broken, open);
    return open == 0 ? CouldNotRun : broken > 0 ? 1 : 0;
}
