// SPDX-License-Identifier: MIT
// Case: the manifest moves a route to another service while the hosts of the first one are full for a moment. Copies of opening
// packets that requesters send after the change is in force at a balancer are to reach the second service only.
//
// Argument: network octet. Environment: TROUBLE, RECORD.
#include "layout.h"

#include <algorithm>
#include <cstdlib>

using namespace Review;

namespace {

constexpr unsigned Balancers = 3;
constexpr unsigned OldHosts = 3;
constexpr unsigned NewHosts = 2;
constexpr unsigned Requesters = 30;
constexpr std::uint16_t RequesterPort = 40001;
constexpr int BudgetMs = 1200;
constexpr long long DowngradeSlackMs = 250;
constexpr long long SpreadMs = 150; // Between the first opening packets.
constexpr long long FullMs = 600; // How long the hosts are full, from the first opening packet.
constexpr int CouldNotRun = 2;

const char *const OldService = "rate-desk";
const char *const NewService = "doc-vault";

// Opens new flows until each balancer has passed one to the new service; returns when that was, for each balancer.
std::vector<long long> awaitEffect(const Layout &layout, const Router &router, const std::function<bool(const Address &)> &isNew)
{
    constexpr unsigned Probes = 60;
    constexpr long long ProbeIntervalMs = 4;
    std::vector<long long> seenAt(Balancers, -1);
    std::mutex mutex;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < Probes; ++i) {
        threads.emplace_back([&, i] {
            Requester requester(layout.requester(Requesters + i), router);
            sleepMs(ProbeIntervalMs * i);
            const Requester::Outcome opened = requester.open(RequesterPort, Route);
            const std::size_t balancer = requester.balancer();
            const std::lock_guard lock(mutex);
            if (opened == Requester::Outcome::Answered && isNew(requester.lastSender()) && seenAt[balancer] < 0) {
                seenAt[balancer] = elapsedMs();
                Record::line("%s takes a flow through balancer %zu: manifest 8 is in effect there", requester.lastSender().text().c_str(), balancer);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return seenAt;
}

} // namespace

int main(int argc, char **argv)
{
    began();
    if (argc != 2) {
        return CouldNotRun;
    }
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record::open(std::getenv("RECORD"));
    const Layout layout(static_cast<unsigned>(std::atoi(argv[1])));
    std::vector<std::unique_ptr<Host>> hosts;
    for (unsigned i = 0; i < OldHosts + NewHosts; ++i) {
        const char *const service = i < OldHosts ? OldService : NewService;
        hosts.push_back(std::make_unique<Host>(
            std::string(service) + "-" + std::to_string(i), 0x7f3a9200 + i, service, "ktm-lalit", layout.host(i), DatagramPort, layout.control()));
    }
    const auto isNew = [&layout](const Address &address) {
        return address >= layout.host(OldHosts);
    };
    const HttpReply first = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(7, OldService), 40);
    Record::line("operator: manifest 7, route to %s, answered with %d", OldService, first.status);
    Router router(layout.balancers(Balancers));
    const bool started = first.status == 200 && waitUntil(20000, [&] {
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
    sleepMs(5000); // contact_ms after the start and a little more.

    for (unsigned i = 0; i < OldHosts; ++i) {
        hosts[i]->setFull(true);
    }
    const long long fullAt = elapsedMs();
    std::vector<std::unique_ptr<Requester>> requesters;
    std::vector<Requester::Outcome> outcomes(Requesters);
    std::vector<std::string> answers(Requesters);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < Requesters; ++i) {
        requesters.push_back(std::make_unique<Requester>(layout.requester(i), router));
    }
    for (unsigned i = 0; i < Requesters; ++i) {
        threads.emplace_back([&, i] {
            sleepMs(SpreadMs * i / Requesters);
            outcomes[i] = requesters[i]->open(RequesterPort, Route);
            if (outcomes[i] == Requester::Outcome::Answered) {
                outcomes[i] = requesters[i]->request("booking-" + std::to_string(i), BudgetMs, answers[i]);
            }
        });
    }
    threads.emplace_back([&] {
        while (elapsedMs() - fullAt < FullMs) {
            sleepMs(1);
        }
        for (unsigned i = 0; i < OldHosts; ++i) {
            hosts[i]->setFull(false);
        }
        Record::line("the hosts of %s have room again", OldService);
    });
    while (elapsedMs() - fullAt < SpreadMs + 10) {
        sleepMs(1);
    }
    std::vector<long long> effectAt(Balancers, -1);
    if (trouble) {
        const HttpReply second = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(8, NewService), 10);
        Record::line("operator: manifest 8, route to %s, answered with %d", NewService, second.status);
        if (second.status == 200) {
            effectAt = awaitEffect(layout, router, isNew);
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }

    unsigned broken = 0;
    unsigned served = 0;
    for (unsigned i = 0; i < Requesters; ++i) {
        const bool answered = outcomes[i] == Requester::Outcome::Answered;
        const std::size_t balancer = requesters[i]->balancer();
        const long long late = effectAt[balancer] >= 0 ? requesters[i]->lastOpeningSentAt() - effectAt[balancer] : -1;
        const bool byOld = answered && !isNew(requesters[i]->lastSender());
        served += answered ? 1 : 0;
        broken += byOld && late > DowngradeSlackMs ? 1 : 0;
        Record::line("requester %u: \"%s\" through balancer %zu, opened by a packet sent %lld ms after the effect of manifest 8 there",
                     i,
                     answered ? answers[i].c_str() : "not answered",
                     balancer,
                     late);
    }
    Record::line(
        "%u of %u requests ran at the old service, opened more than %lld ms after the balancer had manifest 8 in effect", broken, served, DowngradeSlackMs);
    const bool measured = !trouble
        || std::count_if(effectAt.begin(),
                         effectAt.end(),
                         [](long long at) {
                             return at >= 0;
                         })
            > 0;
    if (served == 0 || !measured) {
        return CouldNotRun;
    }
    return broken > 0 ? 1 : 0;
}
