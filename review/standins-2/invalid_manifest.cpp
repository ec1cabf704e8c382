// SPDX-License-Identifier: MIT
// Case: the operator sends an invalid manifest. It is to be answered with 4xx. A call without a clear answer is sent again unchanged,
// to any node. The platform starts a process that ended again after a short delay.
//
// Arguments: network octet, work folder with the settings of the control nodes, process id of each control node.
// Environment: TROUBLE, RECORD.
#include "layout.h"
#include "process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sys/wait.h>

using namespace Review;

namespace {

constexpr long long RestartDelayMs = 500;
constexpr int EndsThatCount = 3; // "processes end by themselves three times in the day"
constexpr std::size_t NodesThatCount = 2; // "on half of the core"
constexpr long long CallMs = 30000; // How long the operator goes on with one call.
constexpr std::size_t Depth = 100000; // Nested lists; the manifest has 200 KB, below max_body_bytes, 262,144.
constexpr int CouldNotRun = 2;

struct ControlNode {
    pid_t process = 0;
    int ends = 0;
    long long startAt = 0; // When to start it again; 0: it runs.
};

bool runs(pid_t process)
{
    int status = 0;
    ::waitpid(process, &status, WNOHANG); // Of a child of this process; others are reaped by run.sh.
    std::ifstream state("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(state, text);
    const std::size_t end = text.rfind(')');
    return end != std::string::npos && text.substr(end + 2, 1) != "Z";
}

std::string nestedManifest(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + std::string(Depth, '[') + std::string(Depth, ']') + R"(],"services":[]})";
}

std::string cutManifest(int version)
{
    const std::string whole = manifest(version, "rate-desk");
    return whole.substr(0, whole.size() / 2);
}

} // namespace

int main(int argc, char **argv)
{
    began();
    if (argc != 3 + static_cast<int>(ControlNodes)) {
        return CouldNotRun;
    }
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record::open(std::getenv("RECORD"));
    const Layout layout(static_cast<unsigned>(std::atoi(argv[1])));
    const std::string folder = argv[2];
    std::vector<ControlNode> nodes(ControlNodes);
    for (std::size_t i = 0; i < ControlNodes; ++i) {
        nodes[i].process = std::atoi(argv[3 + i]);
    }
    const HttpReply valid = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(7, "rate-desk"), 40);
    Record::line("operator: manifest 7 answered with %d", valid.status);
    if (valid.status != 200) {
        return CouldNotRun;
    }
    sleepMs(4500); // contact_ms after the start.

    // The platform watches the processes.
    std::atomic<bool> ending = false;
    std::mutex mutex;
    std::thread platform([&] {
        while (!ending) {
            for (std::size_t i = 0; i < ControlNodes; ++i) {
                const std::lock_guard lock(mutex);
                ControlNode &node = nodes[i];
                if (node.startAt == 0 && !runs(node.process)) {
                    ++node.ends;
                    node.startAt = elapsedMs() + RestartDelayMs;
                    Record::line("control node %zu has ended by itself, for the %d. time", i, node.ends);
                } else if (node.startAt != 0 && elapsedMs() >= node.startAt) {
                    node.process = startAgain(folder, "core-" + std::to_string(i), "target/robinrail-platform-control");
                    node.startAt = 0;
                }
            }
            sleepMs(10);
        }
    });

    const std::string body = trouble ? nestedManifest(9) : cutManifest(9);
    Record::line("operator: sends an invalid manifest of %zu bytes", body.size());
    const long long start = elapsedMs();
    HttpReply reply;
    for (int i = 0; elapsedMs() - start < CallMs; ++i) {
        const std::size_t node = static_cast<std::size_t>(i) % ControlNodes;
        reply = http(layout.control()[node], "PUT", "/config", body);
        Record::line("operator: invalid manifest at control node %zu: %s", node, reply.status == 0 ? "no answer" : std::to_string(reply.status).c_str());
        if (reply.status >= 400 && reply.status < 500) {
            break;
        }
        sleepMs(std::min(100 + 50 * i, 1000)); // A growing interval.
    }
    ending = true;
    platform.join();
    std::size_t counted = 0;
    for (const ControlNode &node : nodes) {
        counted += node.ends >= EndsThatCount ? 1 : 0;
    }
    const HttpReply next = callAnyNode(layout.control(), 0, "PUT", "/config", manifest(10, "rate-desk"), 5);
    Record::line("operator: manifest 10 answered with %d", next.status);
    for (const ControlNode &node : nodes) {
        ::kill(node.process, SIGKILL);
    }
    Record::line("on %zu of %zu control nodes the process ended by itself %d times or more", counted, ControlNodes, EndsThatCount);
    return counted >= NodesThatCount ? 1 : 0;
}
