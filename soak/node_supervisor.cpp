// SPDX-License-Identifier: MIT
// Node supervisor: implementation.
#include "node_supervisor.h"

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

// Time between SIGTERM and SIGKILL as small deployments set it, and a margin for a busy machine.
constexpr milliseconds TerminationGrace{6000};
constexpr Duration TerminationSlack = seconds(3);

// Length of a record that a power failure cut short.
constexpr std::size_t TornRecordBytes = 11;

// How long the storage fails after a restart.
constexpr Duration StorageFailureTime = seconds(2);

constexpr int AnnounceIntervalMs = 770;

// Link of a balancer in runs with overload: some ten times what a balancer needs at the usual rate, so that the limit of the link
// applies in a part of the overloads.
constexpr double OverloadLinkMbps = 1;

// Where the data folder is moved while a plain file has its name, so that nothing can be opened in it.
fs::path displacedDataPath(const fs::path &data)
{
    return data.string() + ".aside";
}

} // namespace

NodeSupervisor::NodeSupervisor(
    boost::asio::io_context &io, const Topology &topology, FaultTracker &faults, Violations &violations, const fs::path &programs, fs::path work)
    : m_topology(topology)
    , m_faults(faults)
    , m_violations(violations)
    , m_work(std::move(work))
{
    for (std::size_t i = 0; i < topology.replicas + topology.balancers; ++i) {
        const bool replica = i < topology.replicas;
        Node node;
        node.name = replica ? "replica-" + std::to_string(i) : "balancer-" + std::to_string(i - topology.replicas);
        node.address = replica ? topology.replica(i) : topology.balancer(i - topology.replicas);
        node.program = programs / (replica ? "robinrail-platform-control" : "robinrail-platform-balancer");
        if (replica) {
            node.data = m_work / (node.name + ".data");
            fs::create_directories(node.data);
            node.proxy = std::make_unique<FaultProxy>(io, Endpoint{node.address, Topology::LinkPort}, Endpoint{node.address, Topology::ReplicaLinkPort});
        }
        m_nodes.push_back(std::move(node));
    }
}

NodeSupervisor::~NodeSupervisor()
{
    for (Node &node : m_nodes) {
        if (node.child.valid()) {
            killProcess(node);
        }
    }
}

// ---- Processes ----

void NodeSupervisor::writeSettings(const Node &node, bool firstStart) const
{
    nlohmann::json seeds = nlohmann::json::array();
    const std::size_t seedNodeCount = firstStart ? m_topology.replicas : m_topology.seedNodes;
    for (std::size_t i = 0; i < seedNodeCount; ++i) {
        seeds.push_back(toText({m_topology.replica((node.firstSeedNode + i) % m_topology.replicas), Topology::ControlPort}));
    }
    const bool replica = !node.data.empty();
    nlohmann::json settings = {{"node", node.name},
                               {"dataCentre", DataCentres[dataCentreOfBalancer(node.address)]},
                               {"dataCentres", DataCentres},
                               {"seeds", seeds},
                               {"linkPort", Topology::LinkPort},
                               {"firstStart", firstStart},
                               {"announceIntervalMs", AnnounceIntervalMs},
                               {"borneLosses", m_topology.replicas / 2},
                               {"drainMs", std::chrono::duration_cast<milliseconds>(DrainDeadline).count()},
                               {"graceMs", TerminationGrace.count()}};
    settings["listen"]["admin"] = toText({node.address, replica ? Topology::ControlPort : Topology::ReadinessPort});
    if (replica) {
        settings["linkListenPort"] = Topology::ReplicaLinkPort;
        settings["dataFolder"] = node.data.string();
    } else {
        settings["listen"]["packets"] = toText({node.address, Topology::PacketPort});
        if (m_topology.overload) {
            settings["linkMbps"] = OverloadLinkMbps;
        }
    }
    std::ofstream(m_work / (node.name + ".json")) << settings.dump(4) << '\n';
}

void NodeSupervisor::start(TimePoint /*now*/, Node &node)
{
    const fs::path log = m_work / (node.name + ".log");
    // Opened for appending: one log holds all runs of a node.
    std::FILE *const output = std::fopen(log.c_str(), "a");
    const std::string settings = "--settings=" + (m_work / (node.name + ".json")).string();
    // The programs must not outlive the soak, however it ends, nor keep inherited sockets of stopped targets open.
    const auto endWithParent = process::extend::on_exec_setup([](auto &) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    });
    node.child = process::child(node.program.string(), process::args = settings, process::std_out > output, process::std_err > output, endWithParent);
    std::fclose(output);
    node.state = State::Running;
    LogLine(LogLevel::Info, "node-started").with("node", node.name).with("pid", node.child.id());
}

void NodeSupervisor::startAll(TimePoint now)
{
    for (Node &node : m_nodes) {
        writeSettings(node, true);
        start(now, node);
    }
}

void NodeSupervisor::sendSignal(Node &node, int number)
{
    ::kill(node.child.id(), number);
}

void NodeSupervisor::killProcess(Node &node)
{
    std::error_code ignored;
    node.child.terminate(ignored);
    node.child.wait(ignored);
}

std::size_t NodeSupervisor::size() const
{
    return m_nodes.size();
}

bool NodeSupervisor::isReplica(std::size_t node) const
{
    return node < m_topology.replicas;
}

bool NodeSupervisor::canInjectFault(std::size_t node) const
{
    return m_nodes[node].state == State::Running && !m_nodes[node].storageRestoreAt;
}

bool NodeSupervisor::faultFree() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node &node) {
        return node.state == State::Running && !node.storageRestoreAt && !node.linkFaultEndAt;
    });
}

// ---- Faults ----

void NodeSupervisor::kill(TimePoint now, std::size_t number, milliseconds duration)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "kill").with("node", node.name).with("for-ms", duration.count());
    writeSettings(node, false);
    m_faults.begin(now, node.address);
    killProcess(node);
    node.state = State::Down;
    node.nextActionAt = now + duration;
}

void NodeSupervisor::terminate(TimePoint now, std::size_t number, milliseconds duration)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "terminate").with("node", node.name).with("for-ms", duration.count());
    writeSettings(node, false);
    m_faults.begin(now, node.address);
    sendSignal(node, SIGTERM);
    node.state = State::Terminating;
    node.nextActionAt = now + duration;
    node.terminateDeadline = now + TerminationGrace + TerminationSlack;
}

void NodeSupervisor::pause(TimePoint now, std::size_t number, milliseconds duration)
{
    Node &node = m_nodes[number];
    LogLine(LogLevel::Info, "pause").with("node", node.name).with("for-ms", duration.count());
    m_faults.begin(now, node.address);
    sendSignal(node, SIGSTOP);
    node.state = State::Paused;
    node.nextActionAt = now + duration;
}

void NodeSupervisor::sendHangup(std::size_t number)
{
    LogLine(LogLevel::Info, "hang-up").with("node", m_nodes[number].name);
    sendSignal(m_nodes[number], SIGHUP);
}

void NodeSupervisor::rewriteSeedNodes(std::size_t number, std::size_t firstSeedNode)
{
    LogLine(LogLevel::Info, "rewrite-seeds").with("node", m_nodes[number].name);
    m_nodes[number].firstSeedNode = firstSeedNode;
    writeSettings(m_nodes[number], false);
}

void NodeSupervisor::killAndWipeDisk(TimePoint now, std::size_t replica, milliseconds duration)
{
    kill(now, replica, duration);
    LogLine(LogLevel::Info, "wipe").with("node", m_nodes[replica].name);
    fs::remove_all(m_nodes[replica].data);
    fs::create_directories(m_nodes[replica].data);
}

// Appends the beginning of a record to the log, as an interrupted write leaves it.
void NodeSupervisor::killAndTearLog(TimePoint now, std::size_t replica, milliseconds duration)
{
    kill(now, replica, duration);
    const fs::path log = m_nodes[replica].data / "log";
    LogLine(LogLevel::Info, "tear").with("node", m_nodes[replica].name).with("there", fs::exists(log));
    if (fs::exists(log)) {
        std::ofstream(log, std::ios::app | std::ios::binary) << std::string(TornRecordBytes, '\x01');
    }
}

void NodeSupervisor::killAndFailStorage(TimePoint now, std::size_t replica, milliseconds duration)
{
    kill(now, replica, duration);
    Node &node = m_nodes[replica];
    LogLine(LogLevel::Info, "refuse-storage").with("node", node.name);
    fs::rename(node.data, displacedDataPath(node.data));
    std::ofstream(node.data) << "not a folder\n";
    node.storageRestoreAt = node.nextActionAt + StorageFailureTime;
}

void NodeSupervisor::restoreStorage(Node &node)
{
    fs::remove(node.data);
    fs::rename(displacedDataPath(node.data), node.data);
    node.storageRestoreAt.reset();
}

void NodeSupervisor::injectLinkFault(TimePoint now, std::size_t replica, LinkFault fault, milliseconds delay, milliseconds duration)
{
    Node &node = m_nodes[replica];
    LogLine(LogLevel::Info, "harm-links").with("node", node.name).with("fault", static_cast<int>(fault)).with("for-ms", duration.count());
    if (!node.linkFaultEndAt) {
        m_faults.begin(now, node.address);
    }
    node.proxy->setFault(fault, delay);
    node.linkFaultEndAt = now + duration;
}

void NodeSupervisor::resetConnections(TimePoint now, std::size_t replica)
{
    LogLine(LogLevel::Info, "reset-links").with("node", m_nodes[replica].name);
    m_faults.begin(now, m_nodes[replica].address);
    m_nodes[replica].proxy->resetConnections();
    m_faults.end(now, m_nodes[replica].address);
}

// ---- Timers ----

void NodeSupervisor::tick(TimePoint now)
{
    for (Node &node : m_nodes) {
        tickNode(now, node);
        tickLinkFault(now, node);
    }
}

void NodeSupervisor::tickNode(TimePoint now, Node &node)
{
    std::error_code ignored;
    const bool running = node.state != State::Down && node.child.running(ignored);
    if (node.state == State::Terminating && running && now >= node.terminateDeadline) {
        m_violations.report("a node ends in time after SIGTERM", node.name);
        killProcess(node);
    } else if ((node.state == State::Running || node.state == State::Paused) && !running) {
        m_violations.report("a node does not exit on its own", node.name + " exited with code " + std::to_string(node.child.exit_code()));
        m_faults.begin(now, node.address);
        node.state = State::Down;
        node.nextActionAt = now;
    } else if (node.state == State::Terminating && !running) {
        node.state = State::Down;
    } else if (node.state == State::Down && now >= node.nextActionAt) {
        start(now, node);
        m_faults.end(now, node.address);
    } else if (node.state == State::Paused && now >= node.nextActionAt) {
        sendSignal(node, SIGCONT);
        node.state = State::Running;
        m_faults.end(now, node.address);
    }
    if (node.storageRestoreAt && now >= *node.storageRestoreAt) {
        m_faults.begin(now, node.address);
        restoreStorage(node);
        m_faults.end(now, node.address);
    }
}

void NodeSupervisor::tickLinkFault(TimePoint now, Node &node)
{
    if (node.linkFaultEndAt && now >= *node.linkFaultEndAt) {
        node.proxy->setFault(LinkFault::None, milliseconds{0});
        node.linkFaultEndAt.reset();
        m_faults.end(now, node.address);
    }
}

void NodeSupervisor::endAllFaults(TimePoint now)
{
    for (Node &node : m_nodes) {
        node.nextActionAt = std::min(node.nextActionAt, now);
        if (node.storageRestoreAt) {
            node.storageRestoreAt = now;
        }
        if (node.linkFaultEndAt) {
            node.linkFaultEndAt = now;
        }
    }
}

} // namespace Robinrail::Soak
