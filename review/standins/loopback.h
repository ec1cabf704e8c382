// SPDX-License-Identifier: MIT
// Loopback: what the scripts of the review share. Starts the programs of the deploy file as separate processes on loopback
// addresses, calls them by HTTP, and records what was sent, answered and run.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int NotRun = 2;

// The figures of the users' smallest deployments, in milliseconds.
inline constexpr int HeartbeatMs = 770;
inline constexpr int DrainMs = 3000;
inline constexpr int GraceMs = 6000;
inline constexpr int CatchUpMs = 4000;
inline constexpr int ContactMs = 4000;
inline constexpr int RecoveryMs = 12000;

inline void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Writes lines with the time since the start of the case to the record.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    [[gnu::format(printf, 2, 3)]] void line(const char *format, ...)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f %s\n", seconds(), text);
            std::fflush(m_file);
        }
    }

    double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - m_began).count();
    }

private:
    std::FILE *m_file;
    Clock::time_point m_began = Clock::now();
    std::mutex m_mutex;
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Whether a port of an address is free, for TCP and UDP.
inline bool isFree(const std::string &ip, int port)
{
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = socketAddress(ip, port);
        free = free && ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(handle);
    }
    return free;
}

struct Answer {
    int status = 0; // 0: no answer, or none that could be read.
    std::string body;
    std::string location;
};

// One HTTP call on a connection of its own.
inline Answer call(const std::string &ip, int port, const std::string &method, const std::string &path, const std::string &body = {}, int timeoutMs = 1000)
{
    Answer answer;
    const auto deadline = Clock::now() + milliseconds(timeoutMs);
    const auto left = [&] {
        return static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count()));
    };
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = socketAddress(ip, port);
    ::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    pollfd ready{handle, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::poll(&ready, 1, left()) != 1 || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        ::close(handle);
        return answer;
    }
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + ip
        + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < request.size()) {
        ready.events = POLLOUT;
        if (::poll(&ready, 1, left()) != 1) {
            break;
        }
        const ssize_t count = ::send(handle, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    std::string text;
    ready.events = POLLIN;
    while (::poll(&ready, 1, left()) == 1) {
        char part[8192];
        const ssize_t count = ::recv(handle, part, sizeof(part), 0);
        if (count <= 0) {
            break;
        }
        text.append(part, static_cast<std::size_t>(count));
    }
    ::close(handle);
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos || text.rfind("HTTP/1.1 ", 0) != 0) {
        return answer;
    }
    answer.status = std::atoi(text.c_str() + std::strlen("HTTP/1.1 "));
    answer.body = text.substr(headEnd + 4);
    const std::size_t at = text.find("Location: ");
    if (at != std::string::npos && at < headEnd) {
        answer.location = text.substr(at + 10, text.find("\r\n", at) - at - 10);
    }
    return answer;
}

// A machine of the deployment: one process of the project.
struct Node {
    std::string name;
    std::string zone;
    std::string ip;
    bool core = false;
    bool firstStart = true;
    std::vector<std::string> seeds; // Addresses of core machines.
    pid_t pid = 0;
    int exits = 0; // Times that the process ended without a signal from the platform.
    int lastCode = 0;
};

// The deployment: settings as deploy/*.json.in gives them, and processes as deploy/system.toml runs them.
class Deployment
{
public:
    Deployment(Record &record, std::string programs, fs::path work)
        : m_record(record)
        , m_programs(std::move(programs))
        , m_work(std::move(work))
    {
    }

    ~Deployment()
    {
        for (auto &[name, node] : m_nodes) {
            killNode(node);
        }
    }

    // Chooses addresses of a loopback network and ports that are free on all of them.
    bool chooseAddresses()
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_net = "127." + std::to_string(20 + (::getpid() + attempt) % 200) + "." + std::to_string((::getpid() / 200 + attempt) % 250) + ".";
            m_port = 20000 + (::getpid() * 7 + attempt * 97) % 9000;
            bool free = true;
            for (int host = 1; host <= 60 && free; ++host) {
                for (int port = m_port; port < m_port + 6 && free; ++port) {
                    free = isFree(m_net + std::to_string(host), port);
                }
            }
            if (free) {
                return true;
            }
        }
        return false;
    }

    std::string ip(int host) const
    {
        return m_net + std::to_string(host);
    }
    int controlPort() const
    {
        return m_port;
    }
    int readinessPort() const
    {
        return m_port + 1;
    }
    int packetPort() const
    {
        return m_port + 2;
    }
    int linkPort() const
    {
        return m_port + 3;
    }
    int hostPort() const
    {
        return m_port + 4;
    }

    Node &add(const std::string &name, const std::string &zone, int host, bool core)
    {
        Node &node = m_nodes[name];
        node.name = name;
        node.zone = zone;
        node.ip = ip(host);
        node.core = core;
        return node;
    }

    fs::path dataFolder(const Node &node) const
    {
        return m_work / (node.name + ".data");
    }

    // The process ends with the thread that started it.
    void start(Node &node)
    {
        const fs::path settings = writeSettings(node);
        const std::string program = m_programs + (node.core ? "/robinrail-platform-control" : "/robinrail-platform-balancer");
        const std::string log = (m_work / (node.name + ".log")).string();
        const std::string variable = "ROBINRAIL_CONFIG=" + settings.string();
        node.pid = ::fork();
        if (node.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        node.firstStart = false; // The platform sets it at the first start of the whole system only.
        m_record.line("platform: %s started", node.name.c_str());
    }

    static void sendSignal(const Node &node, int number)
    {
        if (node.pid > 0) {
            ::kill(node.pid, number);
        }
    }

    void killNode(Node &node)
    {
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
            node.pid = 0;
        }
    }

    // Whether the process has ended; collects its exit status.
    static bool ended(Node &node)
    {
        int status = 0;
        if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) {
            return node.pid <= 0;
        }
        node.lastCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        node.pid = 0;
        return true;
    }

    // SIGTERM, and SIGKILL after the grace period.
    void terminate(Node &node)
    {
        sendSignal(node, SIGTERM);
        for (int waited = 0; waited < GraceMs && !ended(node); waited += 5) {
            pause(5);
        }
        killNode(node);
    }

    bool ready(const Node &balancer) const
    {
        return call(balancer.ip, readinessPort(), "GET", "/readyz", {}, 500).status == 200;
    }

private:
    fs::path writeSettings(const Node &node) const
    {
        std::string seeds;
        for (const std::string &seed : node.seeds) {
            seeds += (seeds.empty() ? "\"" : ", \"") + seed + ":" + std::to_string(controlPort()) + "\"";
        }
        const std::string admin = node.ip + ":" + std::to_string(node.core ? controlPort() : readinessPort());
        const std::string packets = node.core ? "" : ", \"packets\": \"" + node.ip + ":" + std::to_string(packetPort()) + "\"";
        const fs::path path = m_work / (node.name + ".json");
        std::ofstream out(path);
        out << "{\n  \"node\": \"" << node.name << "\",\n  \"dataCentre\": \"" << node.zone << "\",\n"
            << "  \"dataCentres\": [\"ktm-lalit\", \"ktm-bhakta\", \"ktm-thamel\"],\n"
            << "  \"listen\": { \"admin\": \"" << admin << "\"" << packets << " },\n"
            << "  \"seeds\": [" << seeds << "],\n  \"linkPort\": " << linkPort() << ",\n"
            << "  \"firstStart\": " << (node.firstStart ? "true" : "false") << ",\n  \"announceIntervalMs\": " << HeartbeatMs << ",\n"
            << "  \"borneLosses\": 1,\n  \"borneDataCentres\": 1,\n  \"drainMs\": " << DrainMs << ",\n  \"graceMs\": " << GraceMs;
        if (node.core) {
            fs::create_directories(dataFolder(node));
            out << ",\n  \"dataFolder\": \"" << dataFolder(node).string() << "\"";
        }
        out << "\n}\n";
        return path;
    }

    Record &m_record;
    std::string m_programs;
    fs::path m_work;
    std::string m_net;
    int m_port = 0;
    std::map<std::string, Node> m_nodes;
};

// A manifest with one route to each of two services.
inline std::string manifest(int version, const std::string &routeHost)
{
    const auto route = [&](const char *name, int port, const char *type, const char *service) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"" + routeHost + "\",\"path_prefix\":\"/" + std::to_string(port) + "/\",\"type\":\"" + type
            + "\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2}";
    };
    const auto service = [](const char *name) {
        return std::string("{\"name\":\"") + name + "\",\"health_path\":\"/healthz\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("r-1", 443, "idempotent", "rate-desk") + ","
        + route("r-2", 8443, "download", "doc-vault") + "],\"services\":[" + service("rate-desk") + "," + service("doc-vault")
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// The version in a manifest's text; 0 if there is none.
inline int versionOf(const std::string &text)
{
    const std::size_t at = text.find("\"version\":");
    return at != std::string::npos ? std::atoi(text.c_str() + at + 10) : 0;
}

// The operator: follows a redirect twice, and after a failure, a 5xx or a second without an answer moves to the next node.
class Operator
{
public:
    Operator(Record &record, const Deployment &deployment)
        : m_record(record)
        , m_deployment(deployment)
    {
    }

    std::vector<std::string> nodes; // Addresses, the one to ask first in front.

    // Sends until the answer is 200 or the time is over. Returns the address that answered; empty without one.
    std::string send(const std::string &method, const std::string &path, const std::string &body, int forMs, Answer &last)
    {
        const auto deadline = Clock::now() + milliseconds(forMs);
        for (std::size_t attempt = 0; Clock::now() < deadline; ++attempt) {
            std::string ip = nodes[attempt % nodes.size()];
            for (int hop = 0; hop < 3; ++hop) {
                last = call(ip, m_deployment.controlPort(), method, path, body);
                if (last.status != 307) {
                    break;
                }
                const std::size_t begin = last.location.find("//") + 2;
                ip = last.location.substr(begin, last.location.find(':', begin) - begin);
            }
            if (last.status == 200) {
                return ip;
            }
            const auto count = ++m_failures;
            if (count <= 12 || count % 20 == 0) {
                m_record.line("operator: %s %s at %s -> %d", method.c_str(), path.c_str(), ip.c_str(), last.status);
            }
            pause(std::min(50 + static_cast<int>(attempt) * 20, 400));
        }
        return {};
    }

private:
    Record &m_record;
    const Deployment &m_deployment;
    std::size_t m_failures = 0;
};

// Starts three core machines and the balancers, and waits until the first manifest is acknowledged and all balancers know it.
struct SmallDeployment {
    static constexpr const char *Zones[3] = {"ktm-lalit", "ktm-bhakta", "ktm-thamel"};

    std::vector<Node *> cores;
    std::vector<Node *> balancers;

    void start(Deployment &deployment, int balancerCount)
    {
        const std::vector<std::string> seeds = {deployment.ip(1), deployment.ip(2), deployment.ip(3)};
        for (int i = 0; i < 3; ++i) {
            cores.push_back(&deployment.add("core-" + std::to_string(i + 1), Zones[i], 1 + i, true));
        }
        for (int i = 0; i < balancerCount; ++i) {
            balancers.push_back(&deployment.add("edge-" + std::to_string(i + 1), Zones[i % 3], 11 + i, false));
        }
        for (const std::vector<Node *> &group : {cores, balancers}) {
            for (Node *node : group) {
                node->seeds = seeds;
                deployment.start(*node);
            }
        }
    }
};

} // namespace Review
