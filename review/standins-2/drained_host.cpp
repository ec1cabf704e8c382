// SPDX-License-Identifier: MIT
// Case: a host drains as planned work. As in an ordinary graceful shutdown it takes no further connections for liveness checks, keeps
// its flows, and runs the requests on them to the end. Its last requests take 300 ms each.
//
// Argument: network octet. Environment: TROUBLE, RECORD, and LISTENS to have it go on taking such connections.
#include "layout.h"

#include <cstdlib>

using namespace Review;

namespace {

constexpr unsigned Balancers = 2;
constexpr unsigned Hosts = 4;
constexpr unsigned Requesters = 48;
constexpr unsigned EarlyRequesters = 12; // Whose opening packets meet full hosts.
constexpr std::uint16_t RequesterPort = 40001;
constexpr int BudgetMs = 1500;
constexpr std::size_t Slots = 3;
constexpr long long WorkMs = 300; // The site's longest booking takes 310 ms.
constexpr int CouldNotRun = 2;

const char *nameOf(Requester::Outcome outcome)
{
    return outcome == Requester::Outcome::Answered ? "answered" : outcome == Requester::Outcome::Reset ? "reset" : "silent";
}

// All hosts are full for a moment, so that opening packets are repeated. The system then connects to them, and they answer.
void fillHosts(const Layout &layout, const Router &router, const std::vector<std::unique_ptr<Host>> &hosts)
{
    for (const auto &host : hosts) {
        host->setFull(true);
    }
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < EarlyRequesters; ++i) {
        threads.emplace_back([&, i] {
            Requester requester(layout.requester(Requesters + i), router);
            requester.open(RequesterPort, Route);
        });
    }
    sleepMs(300);
    for (const auto &host : hosts) {
        host->setFull(false);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
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
    for (unsigned i = 0; i < Hosts; ++i) {
        hosts.push_back(
            std::make_unique<Host>("host-" + std::to_string(i), 0x7f3a9400 + i, "rate-desk", "ktm-lalit", layout.host(i), DatagramPort, layout.control()));
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
    sleepMs(4500);
    fillHosts(layout, router, hosts);
    sleepMs(3000);

    // Flows with one request each.
    std::vector<std::unique_ptr<Requester>> requesters;
    std::vector<unsigned> atFirst; // Requesters whose flow is open at host 0.
    std::string answer;
    for (unsigned i = 0; i < Requesters; ++i) {
        requesters.push_back(std::make_unique<Requester>(layout.requester(i), router));
        const bool served = requesters[i]->open(RequesterPort, Route) == Requester::Outcome::Answered
            && requesters[i]->request("first-" + std::to_string(i), BudgetMs, answer) == Requester::Outcome::Answered;
        if (!served) {
            Record::line("the first request of requester %u was not served", i);
            return CouldNotRun;
        }
        if (answer.substr(0, answer.find(' ')) == "host-0") {
            atFirst.push_back(i);
        }
    }
    Record::line("%zu flows are open at host-0", atFirst.size());
    if (trouble) {
        hosts[0]->drain(std::getenv("LISTENS") != nullptr);
        if (!waitUntil(5000, [&] {
                return hosts[0]->drainConfirmed();
            })) {
            Record::line("the drain was not confirmed");
            return CouldNotRun;
        }
        Record::line("host-0 drains; confirmed");
    }
    sleepMs(1500);

    // The next requests at host 0, as many as it has slots; its other flows rest.
    hosts[0]->setWork(WorkMs);
    const std::size_t ranBefore = hosts[0]->runs();
    std::vector<std::string> outcomes(Requesters);
    std::vector<std::thread> threads;
    for (std::size_t at = 0; at < atFirst.size(); ++at) {
        const unsigned i = atFirst[at];
        threads.emplace_back([&, i, at] {
            std::string last;
            if (at < Slots) {
                outcomes[i] = nameOf(requesters[i]->request("last-" + std::to_string(i), BudgetMs, last));
            } else {
                outcomes[i] = requesters[i]->rest(BudgetMs) ? "rested, reset" : "rested, open";
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    unsigned broken = 0;
    unsigned lost = 0;
    for (std::size_t at = 0; at < atFirst.size(); ++at) {
        const unsigned i = atFirst[at];
        const bool reset = outcomes[i].find("reset") != std::string::npos && requesters[i]->lastSender() != layout.host(0);
        broken += reset ? 1 : 0;
        lost += reset && at < Slots ? 1 : 0;
        Record::line("requester %u: last request through balancer %zu: %s, last packet from %s",
                     i,
                     requesters[i]->balancer(),
                     outcomes[i].c_str(),
                     requesters[i]->lastSender().text().c_str());
    }
    Record::line("host-0 ran %zu requests, of which %u were cut off; %u of its %zu flows were reset by a balancer or another host",
                 hosts[0]->runs() - ranBefore,
                 lost,
                 broken,
                 atFirst.size());
    return atFirst.empty() ? CouldNotRun : broken > 0 ? 1 : 0;
}
