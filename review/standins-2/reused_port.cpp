// SPDX-License-Identifier: MIT
// Case: a balancer is frozen while requesters open their next flows from the ports of closed flows. After it is back for longer
// than contact_ms, the next requests of the open flows pass through it.
//
// Arguments: network octet, process id of each balancer. Environment: TROUBLE, RECORD.
#include "layout.h"

#include <csignal>
#include <cstdlib>

using namespace Review;

namespace {

constexpr unsigned Balancers = 3;
constexpr unsigned Hosts = 5;
constexpr unsigned Requesters = 90;
constexpr std::uint16_t RequesterPort = 40001;
constexpr int BudgetMs = 1500;
constexpr long long RestMs = 6000; // From the end of the first flows to the freeze.
constexpr long long FreezeMs = 3000; // The site's list has node_freeze with for_s = 3.5 and 4.0.
constexpr long long ContactMs = 4000;
constexpr int CouldNotRun = 2;

const char *nameOf(Requester::Outcome outcome)
{
    return outcome == Requester::Outcome::Answered ? "answered" : outcome == Requester::Outcome::Reset ? "reset" : "silent";
}

} // namespace

int main(int argc, char **argv)
{
    began();
    if (argc != 2 + static_cast<int>(Balancers)) {
        return CouldNotRun;
    }
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record::open(std::getenv("RECORD"));
    const Layout layout(static_cast<unsigned>(std::atoi(argv[1])));
    std::vector<std::unique_ptr<Host>> hosts;
    for (unsigned i = 0; i < Hosts; ++i) {
        hosts.push_back(
            std::make_unique<Host>("host-" + std::to_string(i), 0x7f3a9100 + i, "rate-desk", "ktm-lalit", layout.host(i), DatagramPort, layout.control()));
    }
    const HttpReply acknowledged = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(7, "rate-desk"), 40);
    Record::line("operator: manifest 7 answered with %d", acknowledged.status);
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
    sleepMs(1000);

    // First flows: one request each; the host closes the flow after its answer.
    std::vector<std::unique_ptr<Requester>> requesters;
    std::vector<std::size_t> perBalancer(Balancers);
    std::string answer;
    for (unsigned i = 0; i < Requesters; ++i) {
        requesters.push_back(std::make_unique<Requester>(layout.requester(i), router));
        Requester &requester = *requesters.back();
        const bool served = requester.open(RequesterPort, Route) == Requester::Outcome::Answered
            && requester.request("first-" + std::to_string(i) + " close", BudgetMs, answer) == Requester::Outcome::Answered;
        if (!served) {
            Record::line("the first request of requester %u was not served", i);
            return CouldNotRun;
        }
        ++perBalancer[requester.balancer()];
    }
    const long long closedAt = elapsedMs();
    std::size_t frozen = 0;
    for (std::size_t i = 0; i < Balancers; ++i) {
        frozen = perBalancer[i] > perBalancer[frozen] ? i : frozen;
    }
    Record::line("all first flows are closed by both ends; %zu of them passed through balancer %zu", perBalancer[frozen], frozen);
    std::vector<unsigned> chosen;
    for (unsigned i = 0; i < Requesters; ++i) {
        if (requesters[i]->balancer() == frozen) {
            chosen.push_back(i);
        }
    }

    while (elapsedMs() - closedAt < RestMs) {
        sleepMs(10);
    }
    const pid_t process = std::atoi(argv[2 + frozen]);
    const long long frozenAt = elapsedMs();
    if (trouble) {
        Record::line("balancer %zu is frozen", frozen);
        ::kill(process, SIGSTOP);
        if (!waitUntil(2500, [&] {
                return !router.in(frozen);
            })) {
            Record::line("the router did not notice");
        }
    } else {
        sleepMs(1200);
    }

    // Second flows, from the same ports.
    std::map<unsigned, std::string> hostOf;
    for (const unsigned i : chosen) {
        const Requester::Outcome opened = requesters[i]->open(RequesterPort, Route);
        const Requester::Outcome served = opened == Requester::Outcome::Answered ? requesters[i]->request("second-" + std::to_string(i), BudgetMs, answer)
                                                                                 : opened;
        Record::line("requester %u: second flow through balancer %zu: %s", i, requesters[i]->balancer(), nameOf(served));
        if (served == Requester::Outcome::Answered) {
            hostOf[i] = answer.substr(0, answer.find(' '));
        }
    }
    while (elapsedMs() - frozenAt < FreezeMs) {
        sleepMs(10);
    }
    if (trouble) {
        ::kill(process, SIGCONT);
        Record::line("balancer %zu runs again", frozen);
    }
    const long long thawedAt = elapsedMs();
    while (elapsedMs() - thawedAt < ContactMs + 700) {
        sleepMs(10);
    }
    if (!router.allIn()) {
        Record::line("a balancer is not back");
        return CouldNotRun;
    }

    // The next request of each second flow, after a pause of about 6 s.
    unsigned broken = 0;
    for (const auto &[i, host] : hostOf) {
        const Requester::Outcome outcome = requesters[i]->request("third-" + std::to_string(i), BudgetMs, answer);
        Record::line("requester %u: third request through balancer %zu, flow open at %s: %s, last packet from %s",
                     i,
                     requesters[i]->balancer(),
                     host.c_str(),
                     nameOf(outcome),
                     requesters[i]->lastSender().text().c_str());
        const Address own = layout.host(static_cast<unsigned>(std::atoi(host.substr(5).c_str())));
        if (outcome == Requester::Outcome::Reset && requesters[i]->lastSender() != own) {
            ++broken;
        }
    }
    Record::line("%u of %zu open flows were reset by another host or a balancer, %.1f s after the closed ones ended",
                 broken,
                 hostOf.size(),
                 static_cast<double>(elapsedMs() - closedAt) / 1000);
    if (hostOf.empty()) {
        return CouldNotRun;
    }
    return broken > 0 ? 1 : 0;
}
