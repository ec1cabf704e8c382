// SPDX-License-Identifier: MIT
// Node herd: implementation.
#include "node_herd.h"

#include "log.h"
#include "settings.h"

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <sys/prctl.h>
#include <unistd.h>

namespace Robinrail::Soak {

namespace process = boost::process;
namespace fs = std::filesystem;

namespace {

// From the request to end to the kill, as small deployments set it, and what a busy machine may add.
constexpr milliseconds Grace{6000};
constexpr Duration EndSlack = seconds(3);

// Bytes of a record that a loss of power cut short.
constexpr std::size_t TornBytes = 11;

// The disk refuses to work for so long after a restart.
constexpr Duration StorageRefusal = seconds(2);

constexpr int AnnounceIntervalMs = 770;

// The file that names itself in place of a data folder, so that nothing can be opened in it.
fs::path asidePath(const fs::path &data)
{
    return data.string() + ".aside";
}

} // namespace

NodeHerd::NodeHerd(boost::asio::io_context &io, const Plan &plan, Trouble &trouble, Promises &promises, const fs::path &programs, fs::path work)
    : m_plan(plan)
    , m_trouble(trouble)
    , m_promises(promises)
    , m_work(std::move(work))
{
    for (std::size_t i = 0; i < plan.replicas + plan.balancers; ++i) {
        const bool replica = i < plan.replicas;
        Node node;
        node.name = replica ? "replica-" + std::to_string(i) : "balancer-" + std::to_string(i - plan.replicas);
        node.address = replica ? plan.replica(i) : plan.balancer(i - plan.replicas);
        node.program = programs / (replica ? "robinrail-platform-control" : "robinrail-platform-balancer");
        if (replica) {
            node.data = m_work / (node.name + ".data");
            fs::create_directories(node.data);
            node.proxy = std::make_unique<FaultProxy>(io, Endpoint{node.address, Plan::LinkPort}, Endpoint{node.address, Plan::OwnLinkPort});
        }
        m_nodes.push_back(std::move(node));
    }
}

NodeHerd::~NodeHerd()
{
    for (Node &node : m_nodes) {
        if (node.child.valid()) {
            endNow(node);
        }
    }
}

// ---- Processes ----

void NodeHerd::writeSettings(const Node &node, bool firstStart) const
{
    nlohmann::json seeds = nlohmann::json::array();
    const std::size_t named = firstStart ? m_plan.replicas : m_plan.namedSeeds;
    for (std::size_t i = 0; i < named; ++i) {
        seeds.push_back(toText({m_plan.replica((node.firstSeed + i) % m_plan.replicas), Plan::ControlPort}));
    }
    const bool replica = !node.data.empty();
    nlohmann::json settings = {{"node", node.name},
                               {"dataCentre", DataCentres[node.address % DataCentres.size()]},
                               {"dataCentres", DataCentres},
                               {"seeds", seeds},
                               {"linkPort", Plan::LinkPort},
                               {"firstStart", firstStart},
                               {"announceIntervalMs", AnnounceIntervalMs},
                               {"borneLosses", m_plan.replicas / 2},
                               {"drainMs", std::chrono::duration_cast<milliseconds>(DrainTime).count()},
                               {"graceMs", Grace.count()}};
    settings["listen"]["admin"] = toText({node.address, replica ? Plan::ControlPort : Plan::ReadinessPort});
    if (replica) {
        settings["linkListenPort"] = Plan::OwnLinkPort;
        settings["dataFolder"] = node.data.string();
    } else {
        settings["listen"]["packets"] = toText({node.address, Plan::PacketPort});
    }
    std::ofstream(m_work / (node.name + ".json")) << settings.dump(4) << '\n';
}

void NodeHerd::start(TimePoint /*now*/, Node &node)
{
    const fs::path log = m_work / (node.name + ".log");
    // Appended to: a node's runs follow each other in one log.
    std::FILE *const output = std::fopen(log.c_str(), "a");
    const std::string settings = "--settings=" + (m_work / (node.name + ".json")).string();
    // The programs must not outlive the soak, however it ends, nor keep sockets of targets that have ended open.
    const auto endWithParent = process::extend::on_exec_setup([](auto &) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    });
    node.child = process::child(node.program.string(), process::args = settings, process::std_out > output, process::std_err > output, endWithParent);
    std::fclose(output);
    node.state = State::Running;
    LogLine(LogLevel::Info, "node-started").with("node", node.name).with("pid", node.child.id());
}

void NodeHerd::startAll(TimePoint now)
{
    for (Node &node : m_nodes) {
        writeSettings(node, true);
        start(now, node);
    }
}

void NodeHerd::signal(Node &node, int number)
{
    ::kill(node.child.id(), number);
}

void NodeHerd::endNow(Node &node)
{
    std::error_code ignored;
    node.child.terminate(ignored);
    node.child.wait(ignored);
}

std::size_t NodeHerd::size() const
{
    return m_nodes.size();
}

bool NodeHerd::isReplica(std::size_t node) const
{
    return node < m_plan.replicas;
}

bool NodeHerd::idle(std::size_t node) const
{
    return m_nodes[node].state == State::Running && !m_nodes[node].storageBack;
}

bool NodeHerd::calm() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node &node) {
        return node.state == State::Running && !node.storageBack && !node.linksBack;
    });
}

// ---- Troubles ----

void NodeHerd::kill(TimePoint now, std::size_t number, milliseconds length)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "kill").with("node", node.name).with("for-ms", length.count());
    writeSettings(node, false);
    m_trouble.begin(now, node.address);
    endNow(node);
    node.state = State::Down;
    node.due = now + length;
}

void NodeHerd::terminate(TimePoint now, std::size_t number, milliseconds length)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "terminate").with("node", node.name).with("for-ms", length.count());
    writeSettings(node, false);
    m_trouble.begin(now, node.address);
    signal(node, SIGTERM);
    node.state = State::Ending;
    node.due = now + length;
    node.endBy = now + Grace + EndSlack;
}

void NodeHerd::pause(TimePoint now, std::size_t number, milliseconds length)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "pause").with("node", node.name).with("for-ms", length.count());
    m_trouble.begin(now, node.address);
    signal(node, SIGSTOP);
    node.state = State::Paused;
    node.due = now + length;
}

void NodeHerd::hangUp(std::size_t number)
{
    LogLine(LogLevel::Info, "hang-up").with("node", m_nodes[number].name);
    signal(m_nodes[number], SIGHUP);
}

void NodeHerd::rewriteSeeds(std::size_t number, std::size_t first)
{
    LogLine(LogLevel::Info, "rewrite-seeds").with("node", m_nodes[number].name);
    m_nodes[number].firstSeed = first;
    writeSettings(m_nodes[number], false);
}

void NodeHerd::killAndWipe(TimePoint now, std::size_t replica, milliseconds length)
{
    kill(now, replica, length);
    LogLine(LogLevel::Info, "wipe").with("node", m_nodes[replica].name);
    fs::remove_all(m_nodes[replica].data);
    fs::create_directories(m_nodes[replica].data);
}

// A record of which only the beginning reached the disk stands at the log's end.
void NodeHerd::killAndTear(TimePoint now, std::size_t replica, milliseconds length)
{
    kill(now, replica, length);
    const fs::path log = m_nodes[replica].data / "log";
    LogLine(LogLevel::Info, "tear").with("node", m_nodes[replica].name).with("there", fs::exists(log));
    if (fs::exists(log)) {
        std::ofstream(log, std::ios::app | std::ios::binary) << std::string(TornBytes, '\x01');
    }
}

void NodeHerd::killAndRefuse(TimePoint now, std::size_t replica, milliseconds length)
{
    kill(now, replica, length);
    Node &node = m_nodes[replica];
    LogLine(LogLevel::Info, "refuse-storage").with("node", node.name);
    fs::rename(node.data, asidePath(node.data));
    std::ofstream(node.data) << "not a folder\n";
    node.storageBack = node.due + StorageRefusal;
}

void NodeHerd::restoreStorage(Node &node)
{
    fs::remove(node.data);
    fs::rename(asidePath(node.data), node.data);
    node.storageBack.reset();
}

void NodeHerd::harmLinks(TimePoint now, std::size_t replica, LinkFault fault, milliseconds delay, milliseconds length)
{
    Node &node = m_nodes[replica];
    LogLine(LogLevel::Info, "harm-links").with("node", node.name).with("fault", static_cast<int>(fault)).with("for-ms", length.count());
    if (!node.linksBack) {
        m_trouble.begin(now, node.address);
    }
    node.proxy->setFault(fault, delay);
    node.linksBack = now + length;
}

void NodeHerd::resetLinks(TimePoint now, std::size_t replica)
{
    LogLine(LogLevel::Info, "reset-links").with("node", m_nodes[replica].name);
    m_trouble.begin(now, m_nodes[replica].address);
    m_nodes[replica].proxy->resetAll();
    m_trouble.settle(now, m_nodes[replica].address);
}

// ---- Time ----

void NodeHerd::tick(TimePoint now)
{
    for (Node &node : m_nodes) {
        tickNode(now, node);
        tickLinks(now, node);
    }
}

void NodeHerd::tickNode(TimePoint now, Node &node)
{
    std::error_code ignored;
    const bool running = node.state != State::Down && node.child.running(ignored);
    if (node.state == State::Ending && running && now >= node.endBy) {
        m_promises.broken("a node ends when it is asked to", node.name);
        endNow(node);
    } else if ((node.state == State::Running || node.state == State::Paused) && !running) {
        m_promises.broken("a node does not end by itself", node.name + " with " + std::to_string(node.child.exit_code()));
        m_trouble.begin(now, node.address);
        node.state = State::Down;
        node.due = now;
    } else if (node.state == State::Ending && !running) {
        node.state = State::Down;
    } else if (node.state == State::Down && now >= node.due) {
        start(now, node);
        m_trouble.settle(now, node.address);
    } else if (node.state == State::Paused && now >= node.due) {
        signal(node, SIGCONT);
        node.state = State::Running;
        m_trouble.settle(now, node.address);
    }
    if (node.storageBack && now >= *node.storageBack) {
        m_trouble.begin(now, node.address);
        restoreStorage(node);
        m_trouble.settle(now, node.address);
    }
}

void NodeHerd::tickLinks(TimePoint now, Node &node)
{
    if (node.linksBack && now >= *node.linksBack) {
        node.proxy->setFault(LinkFault::None, milliseconds{0});
        node.linksBack.reset();
        m_trouble.settle(now, node.address);
    }
}

void NodeHerd::settleAll(TimePoint now)
{
    for (Node &node : m_nodes) {
        node.due = std::min(node.due, now);
        if (node.storageBack) {
            node.storageBack = now;
        }
        if (node.linksBack) {
            node.linksBack = now;
        }
    }
}

} // namespace Robinrail::Soak
