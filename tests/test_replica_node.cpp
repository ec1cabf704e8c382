// SPDX-License-Identifier: MIT
// Replica node: whole replicas with disks and links, over loopback.
//
// A replica that lost its disk joined, and stood empty for 20 s although it heard its leader all the while. It knows the
// seeds alone until it has a log, so it dialled those, and the leader, which was no seed, dialled it. The leader's first
// append, which names the members, was lost, as it was sent before that link was up. The replica refused each later one, but
// sent its refusals only on links that it had dialled itself, and it had none to the leader; they were dropped without a
// line. The leader took the silence for a dead learner and dropped it after DropLearnerAfter. The log lines that showed it:
// the leader's members-changed with the learner at 8.911 s, a single replica-link-up between the two, joined-cluster and
// leader-changed commit=0 at the learner at 9.040 s, then no members-changed and no routing-in-force until the leader
// dropped it at 28.910 s. Balancers that followed it served a dropped route 5.2 s after the change.
#include "replica_node.h"
#include "test_disk.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>

using namespace Robinrail;
using Tcp = boost::asio::ip::tcp;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t FirstAddress = 0x7f060001; // 127.6.0.1
constexpr std::uint16_t AdminPort = 70; // Names the seeds; nobody listens there.

// The wait in real time for what is due at once; half of the time after which a leader that hears nothing drops a learner.
constexpr Duration MaxWait = DropLearnerAfter / 2;

// A loopback port that is free at all of the addresses.
std::uint16_t freePort(boost::asio::io_context &io, std::size_t addresses)
{
    while (true) {
        const std::uint16_t port = Tcp::acceptor(io, {boost::asio::ip::address_v4(FirstAddress), 0}).local_endpoint().port();
        std::vector<Tcp::acceptor> held;
        boost::system::error_code error;
        for (std::size_t i = 0; i < addresses && !error; ++i) {
            held.emplace_back(io, Tcp::v4());
            held.back().bind({boost::asio::ip::address_v4(FirstAddress + static_cast<std::uint32_t>(i)), port}, error);
        }
        if (!error) {
            return port;
        }
    }
}

// Replicas of one cluster, each with an event loop, an address and a folder of its own.
class Replicas
{
public:
    explicit Replicas(std::size_t most)
    {
        boost::asio::io_context io;
        m_port = freePort(io, most);
    }

    static Endpoint addressOf(std::size_t number)
    {
        return {FirstAddress + static_cast<std::uint32_t>(number), AdminPort};
    }

    ReplicaNode &start(std::size_t number, std::vector<Endpoint> seeds, bool firstStart)
    {
        SteeringSettings file;
        file.node = "replica-" + std::to_string(number);
        file.dataCentres = {"here"};
        file.dataCentre = "here";
        file.adminListen = addressOf(number);
        file.seeds = std::move(seeds);
        file.linkPort = m_port;
        file.linkListenPort = m_port;
        file.firstStart = firstStart;
        file.announceInterval = seconds(1);
        file.maxLostReplicas = 1;
        file.dataFolder = m_folder.path() / file.node;
        Process &process = *m_processes.emplace_back(std::make_unique<Process>(file));
        REQUIRE(process.node.start());
        return process.node;
    }

    // From now on a replica does nothing, and its connections stay open.
    void freeze(std::size_t number)
    {
        m_processes[number]->frozen = true;
    }

    // Runs the event loop until the condition holds, at most for MaxWait; whether it does.
    template<typename Condition>
    bool waitFor(Condition condition)
    {
        const TimePoint end = monotonicNow() + MaxWait;
        while (!condition()) {
            if (monotonicNow() >= end) {
                return false;
            }
            pass();
        }
        return true;
    }

private:
    struct Process {
        explicit Process(const SteeringSettings &file)
            : node(io, file)
        {
        }

        boost::asio::io_context io;
        ReplicaNode node;
        bool frozen = false;
    };

    void pass()
    {
        constexpr std::chrono::milliseconds Rest{1};
        std::size_t events = 0;
        for (const auto &process : m_processes) {
            events += process->frozen ? 0 : process->io.poll_one();
        }
        const auto live = std::find_if(m_processes.begin(), m_processes.end(), [](const auto &process) {
            return !process->frozen;
        });
        if (events == 0 && live != m_processes.end()) {
            (*live)->io.run_one_for(Rest);
        }
    }

    Folder m_folder;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<Process>> m_processes;
};

bool leads(const ReplicaNode *node)
{
    return node->metricsText().find("\nrobinrail_replica_leader 1") != std::string::npos;
}

RoutingDocument documentOf(std::uint64_t version)
{
    RoutingDocument document;
    document.text = "version " + std::to_string(version);
    document.table.version = version;
    return document;
}

constexpr std::size_t Voters = 3;
constexpr std::uint64_t Version = 7;

// Three voters that hold a document, and a replica with an empty disk that is told of all seeds but the leader.
struct JoiningReplica {
    JoiningReplica()
    {
        std::vector<Endpoint> seeds;
        for (std::size_t i = 0; i < Voters; ++i) {
            seeds.push_back(Replicas::addressOf(i));
        }
        for (std::size_t i = 0; i < Voters; ++i) {
            voters.push_back(&replicas.start(i, seeds, true));
        }
        REQUIRE(replicas.waitFor([this] {
            leader = static_cast<std::size_t>(std::find_if(voters.begin(), voters.end(), leads) - voters.begin());
            return leader < Voters;
        }));
        bool submitted = false;
        voters[leader]->submit(documentOf(Version), [&submitted](ReplicaAnswer answer) {
            submitted = answer == ReplicaAnswer::Done;
        });
        REQUIRE(replicas.waitFor([&submitted] {
            return submitted;
        }));
        seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(leader));
        joiner = &replicas.start(Voters, seeds, false);
    }

    // Each read makes the leader speak to all members at once, so its first append goes before its link to the joiner is up.
    void keepReading()
    {
        if (!std::exchange(reading, true)) {
            voters[leader]->read([this](ReplicaAnswer) {
                reading = false;
            });
        }
    }

    bool takenIn() const
    {
        const std::string line = "robinrail_member_match{replica=\"" + addressText(Replicas::addressOf(Voters)) + "\"}";
        return voters[leader]->metricsText().find(line) != std::string::npos;
    }

    bool informed() const
    {
        return joiner->document().table.version == Version;
    }

    bool reading = false;
    std::vector<ReplicaNode *> voters;
    std::size_t leader = 0;
    ReplicaNode *joiner = nullptr;
    Replicas replicas{Voters + 1};
};

} // namespace

TEST_CASE("a replica with an empty disk learns from a leader that is no seed, although the leader's first append is lost")
{
    JoiningReplica cluster;
    CHECK(cluster.replicas.waitFor([&cluster] {
        cluster.keepReading();
        return cluster.informed();
    }));
}

TEST_CASE("a replica with an empty disk learns from the next leader when the one that took it in freezes")
{
    JoiningReplica cluster;
    REQUIRE(cluster.replicas.waitFor([&cluster] {
        cluster.keepReading();
        return cluster.takenIn();
    }));
    cluster.replicas.freeze(cluster.leader);
    CHECK(cluster.replicas.waitFor([&cluster] {
        return cluster.informed();
    }));
}
