// SPDX-License-Identifier: MIT
// Stand-ins of the users' platform for the cases of the second review: hosts, requesters, router and operator. They use plain
// sockets on loopback addresses and follow the users' pages; they share no code with the programs under review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point began()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

inline long long elapsedMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - began()).count();
}

inline void sleepMs(long long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

// Writes one line with the time since the start to record.txt.
class Record
{
public:
    static void open(const std::string &path)
    {
        file() = std::fopen(path.c_str(), "a");
    }

    static void line(const char *format, ...)
    {
        static std::mutex mutex;
        const std::lock_guard lock(mutex);
        char text[512];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        for (std::FILE *const out : {file(), stdout}) {
            if (out != nullptr) {
                std::fprintf(out, "%9.3f %s\n", static_cast<double>(elapsedMs()) / 1000, text);
                std::fflush(out);
            }
        }
    }

private:
    static std::FILE *&file()
    {
        static std::FILE *handle = nullptr;
        return handle;
    }
};

struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;

    std::string text() const
    {
        char name[64];
        std::snprintf(name, sizeof name, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255, port);
        return name;
    }

    sockaddr_in socketAddress() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(ip);
        return address;
    }
};

inline Address addressOf(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

// ---- HTTP ----

struct HttpReply {
    int status = 0; // 0: no clear answer.
    std::string location;
    std::string body;
};

inline bool connectWithin(int socket, const Address &to, int timeoutMs)
{
    timeval time{timeoutMs / 1000, timeoutMs % 1000 * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const sockaddr_in address = to.socketAddress();
    return ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

// One request on a connection of its own.
inline HttpReply http(const Address &to, const std::string &method, const std::string &path, const std::string &body, int timeoutMs = 1000)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    HttpReply reply;
    std::string received;
    if (connectWithin(socket, to, timeoutMs)) {
        std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + to.text()
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < request.size()) {
            const ssize_t count = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(count);
        }
        char buffer[4096];
        for (ssize_t count = 0; (count = ::recv(socket, buffer, sizeof buffer, 0)) > 0;) {
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }
    ::close(socket);
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos || received.rfind("HTTP/1.1 ", 0) != 0) {
        return reply;
    }
    reply.status = std::stoi(received.substr(9, 3));
    reply.body = received.substr(end + 4);
    const std::size_t at = received.find("Location: ");
    if (at != std::string::npos && at < end) {
        reply.location = received.substr(at + 10, received.find("\r\n", at) - at - 10);
    }
    return reply;
}

inline std::optional<Address> parseAddress(const std::string &text)
{
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
    unsigned d = 0;
    unsigned port = 0;
    if (std::sscanf(text.c_str(), "%u.%u.%u.%u:%u", &a, &b, &c, &d, &port) != 5) {
        return std::nullopt;
    }
    return Address{a << 24 | b << 16 | c << 8 | d, static_cast<std::uint16_t>(port)};
}

// A call of a host or of the operator: follows 307 twice and moves to the next node after a failure, a 5xx or a second without
// an answer, with a growing pause. Gives up after `tries` calls.
inline HttpReply
callAnyNode(const std::vector<Address> &nodes, std::size_t first, const std::string &method, const std::string &path, const std::string &body, int tries)
{
    HttpReply reply;
    for (int i = 0; i < tries; ++i) {
        Address node = nodes[(first + static_cast<std::size_t>(i)) % nodes.size()];
        reply = http(node, method, path, body);
        for (int hop = 0; hop < 2 && reply.status == 307; ++hop) {
            const std::optional<Address> next = reply.location.rfind("http://", 0) == 0 ? parseAddress(reply.location.substr(7)) : std::nullopt;
            if (!next) {
                break;
            }
            reply = http(*next, method, path, body);
        }
        if (reply.status >= 200 && reply.status < 500 && reply.status != 307 && reply.status != 408 && reply.status != 429) {
            return reply;
        }
        sleepMs(50 + 50 * i);
    }
    return reply;
}

// ---- Packets ----

enum Flag : std::uint8_t { Syn = 2, Rst = 8, Fin = 32, Ack = 128 };

struct Packet {
    static constexpr std::size_t HeadSize = 32;

    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::string data;

    std::string encode() const
    {
        std::string bytes(HeadSize, '\0');
        const auto put = [&bytes](std::size_t at, std::uint32_t value, int size) {
            for (int i = 0; i < size; ++i) {
                bytes[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> 8 * i & 255);
            }
        };
        put(0, static_cast<std::uint32_t>(data.size()), 2);
        put(2, source.ip, 4);
        put(6, destination.port, 2);
        put(8, destination.ip, 4);
        put(12, source.port, 2);
        put(18, sequence, 4);
        put(22, acknowledged, 4);
        put(26, echo, 4);
        put(30, flags, 1);
        return bytes + data;
    }

    static std::optional<Packet> decode(const std::string &bytes)
    {
        if (bytes.size() < HeadSize) {
            return std::nullopt;
        }
        const auto get = [&bytes](std::size_t at, int size) {
            std::uint32_t value = 0;
            for (int i = size - 1; i >= 0; --i) {
                value = value << 8 | static_cast<std::uint8_t>(bytes[at + static_cast<std::size_t>(i)]);
            }
            return value;
        };
        Packet packet;
        packet.source = {get(2, 4), static_cast<std::uint16_t>(get(12, 2))};
        packet.destination = {get(8, 4), static_cast<std::uint16_t>(get(6, 2))};
        packet.sequence = get(18, 4);
        packet.acknowledged = get(22, 4);
        packet.echo = get(26, 4);
        packet.flags = static_cast<std::uint8_t>(get(30, 1));
        packet.data = bytes.substr(HeadSize);
        return get(0, 2) == packet.data.size() ? std::optional(packet) : std::nullopt;
    }

    bool has(Flag flag) const
    {
        return (flags & flag) != 0;
    }
};

class DatagramSocket
{
public:
    explicit DatagramSocket(const Address &address)
        : m_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in to = address.socketAddress();
        m_bound = ::bind(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    }

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    ~DatagramSocket()
    {
        ::close(m_socket);
    }

    bool bound() const
    {
        return m_bound;
    }

    void send(const Address &to, const std::string &bytes) const
    {
        const sockaddr_in address = to.socketAddress();
        ::sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }

    // Waits for one datagram; empty if none came in time.
    std::optional<std::pair<Address, std::string>> receive(int timeoutMs) const
    {
        pollfd waiting{m_socket, POLLIN, 0};
        if (::poll(&waiting, 1, timeoutMs) <= 0) {
            return std::nullopt;
        }
        char buffer[2048];
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const ssize_t count = ::recvfrom(m_socket, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &length);
        if (count < 0) {
            return std::nullopt;
        }
        return std::pair(addressOf(from), std::string(buffer, static_cast<std::size_t>(count)));
    }

private:
    int m_socket;
    bool m_bound = false;
};

// ---- Hosts ----

// A host of a service: announces itself, answers liveness checks, and serves flows. Each request is one packet, and so is its
// answer "STAMP REQUEST". A request that ends with " close" has the host close the flow after its answer.
class Host
{
public:
    Host(std::string name,
         std::uint64_t id,
         std::string service,
         std::string zone,
         const Address &address,
         std::uint16_t requesterPort,
         std::vector<Address> control)
        : m_name(std::move(name))
        , m_id(id)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(address)
        , m_requesterPort(requesterPort)
        , m_control(std::move(control))
        , m_socket(address)
    {
        m_threads.emplace_back([this] {
            servePackets();
        });
        m_threads.emplace_back([this] {
            serveLiveness();
        });
        m_threads.emplace_back([this] {
            announce();
        });
    }

    ~Host()
    {
        m_ending = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    const std::string &name() const
    {
        return m_name;
    }

    bool registered() const
    {
        return m_registered;
    }

    // While a host is full it stays silent to opening packets.
    void setFull(bool full)
    {
        m_full = full;
    }

    // A slow host answers opening packets this much later.
    void setSlow(long long openingDelayMs)
    {
        m_openingDelayMs = openingDelayMs;
    }

    // Each request takes this much work.
    void setWork(long long workMs)
    {
        m_workMs = workMs;
    }

    // The host is about to leave: it says so in its heartbeats and closes each flow after that flow's next answer. As in an ordinary
    // graceful shutdown it takes no further connections for liveness checks, unless it `listens` on.
    void drain(bool listens)
    {
        m_listens = listens;
        m_draining = true;
    }

    // Whether a heartbeat that says that the host drains was confirmed.
    bool drainConfirmed() const
    {
        return m_drainConfirmed;
    }

    // The number of requests that the host has run.
    std::size_t runs() const
    {
        return m_runs;
    }

private:
    struct Flow {
        std::uint32_t own = 0; // Next sequence number of the host.
        std::uint32_t expected = 0; // Next sequence number of the requester.
        bool open = false;
        bool ended = false;
        std::string lastAnswer;
        std::uint32_t lastRequest = 0;
        long long workEnds = 0; // Of the request; 0: none is running.
        Packet request;
    };

    void announce()
    {
        unsigned sequence = 0;
        std::size_t node = m_id % m_control.size();
        while (!m_ending) {
            const bool draining = m_draining;
            char path[64];
            std::snprintf(path, sizeof path, "/instances/i-%llx", static_cast<unsigned long long>(m_id));
            char body[512];
            std::snprintf(body,
                          sizeof body,
                          R"({"service":"%s","address":"%s","zone":"%s","version":"v1","capacity":3,"state":"%s","warmup_left_ms":0,"sequence":%u})",
                          m_service.c_str(),
                          m_address.text().c_str(),
                          m_zone.c_str(),
                          draining ? "draining" : "ready",
                          ++sequence);
            const HttpReply reply = http(m_control[node], "PUT", path, body);
            if (reply.status / 100 == 2) {
                m_registered = true;
                m_drainConfirmed = draining;
                pause(draining == m_draining ? 770 : 0);
            } else {
                node = (node + 1) % m_control.size();
                pause(50);
            }
        }
    }

    void pause(int ms)
    {
        const bool draining = m_draining;
        for (int waited = 0; waited < ms && !m_ending && draining == m_draining; waited += 10) {
            sleepMs(10);
        }
    }

    void serveLiveness()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = m_address.socketAddress();
        ::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        ::listen(listener, 64);
        while (!m_ending && (!m_draining || m_listens)) {
            pollfd waiting{listener, POLLIN, 0};
            if (::poll(&waiting, 1, 50) <= 0) {
                continue;
            }
            const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            pollfd request{connection, POLLIN, 0};
            char buffer[1024];
            if (::poll(&request, 1, 100) > 0 && ::recv(connection, buffer, sizeof buffer, 0) > 0) {
                const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                ::send(connection, answer, sizeof answer - 1, MSG_NOSIGNAL);
            }
            ::close(connection);
        }
        ::close(listener);
    }

    void servePackets()
    {
        while (!m_ending) {
            if (const auto datagram = m_socket.receive(5)) {
                handle(datagram->first, datagram->second);
            }
            sendLateAnswers();
            finishWork();
        }
    }

    void handle(const Address &from, const std::string &bytes)
    {
        if (bytes.size() < 8) {
            return;
        }
        std::uint64_t meant = 0;
        for (int i = 0; i < 8; ++i) {
            meant = meant << 8 | static_cast<std::uint8_t>(bytes[static_cast<std::size_t>(i)]);
        }
        const std::optional<Packet> packet = Packet::decode(bytes.substr(8));
        if (!packet || (meant != 0 && meant != m_id)) {
            return;
        }
        const auto key = std::pair(packet->source, packet->destination);
        if (packet->has(Syn)) {
            return handleOpening(from, *packet, m_flows[key]);
        }
        const auto at = m_flows.find(key);
        const bool held = at != m_flows.end() && (at->second.open || packet->acknowledged == at->second.own);
        if (!held || (at->second.ended && !packet->data.empty())) {
            if (at != m_flows.end() && at->second.ended && packet->data.empty()) {
                return packet->has(Fin) ? reply(*packet, Ack, at->second.own, packet->sequence + 1, {}) : void();
            }
            if (!packet->has(Rst)) {
                Record::line("%s answers RST to %s for a packet on a flow that it does not hold, passed on by %s",
                             m_name.c_str(),
                             packet->source.text().c_str(),
                             from.text().c_str());
                reply(*packet, Rst, packet->acknowledged, packet->sequence, {});
            }
            return;
        }
        handleFlow(*packet, at->second);
    }

    void handleOpening(const Address &from, const Packet &packet, Flow &flow)
    {
        if (m_full) {
            Record::line("%s is full and stays silent to opening copy %u of %s from %s",
                         m_name.c_str(),
                         packet.acknowledged,
                         packet.source.text().c_str(),
                         from.text().c_str());
            return;
        }
        if (flow.open && !flow.ended && flow.expected == packet.sequence + 1) {
            return; // A late copy.
        }
        if (flow.own == 0 || flow.open || flow.expected != packet.sequence + 1) {
            flow = {};
            m_lastSequence += 7919;
            flow.own = m_lastSequence + 1;
        }
        flow.expected = packet.sequence + 1;
        Record::line("%s takes opening copy %u of %s from %s", m_name.c_str(), packet.acknowledged, packet.source.text().c_str(), from.text().c_str());
        const Packet answer{packet.destination, packet.source, flow.own - 1, flow.expected, packet.echo, Syn | Ack, {}};
        m_lateAnswers.push_back({elapsedMs() + m_openingDelayMs, answer});
        sendLateAnswers();
    }

    void sendLateAnswers()
    {
        std::erase_if(m_lateAnswers, [this](const auto &late) {
            if (elapsedMs() < late.first) {
                return false;
            }
            m_socket.send({late.second.destination.ip, m_requesterPort}, late.second.encode());
            return true;
        });
    }

    void handleFlow(const Packet &packet, Flow &flow)
    {
        if (packet.has(Rst)) {
            flow.ended = true;
            return;
        }
        flow.open = true;
        if (packet.has(Fin)) {
            flow.ended = true;
            return reply(packet, Ack, flow.own, packet.sequence + 1, {});
        }
        if (packet.data.empty()) {
            return;
        }
        if (packet.sequence == flow.expected) {
            flow.expected += static_cast<std::uint32_t>(packet.data.size());
            flow.lastRequest = packet.sequence;
            flow.lastAnswer = m_name + " " + packet.data;
            ++m_runs;
            Record::line("%s runs \"%s\" of %s", m_name.c_str(), packet.data.c_str(), packet.source.text().c_str());
        } else if (packet.sequence != flow.lastRequest) {
            return;
        }
        if (m_workMs > 0) {
            return work(packet, flow);
        }
        answerRequest(packet, flow);
    }

    // Answers a request after its work. A copy that arrives meanwhile is acknowledged.
    void work(const Packet &packet, Flow &flow)
    {
        if (flow.workEnds != 0) {
            return reply(packet, Ack, flow.own, flow.expected, {});
        }
        flow.workEnds = elapsedMs() + m_workMs;
        flow.request = packet;
    }

    void finishWork()
    {
        for (auto &[key, flow] : m_flows) {
            if (flow.workEnds != 0 && elapsedMs() >= flow.workEnds) {
                flow.workEnds = 0;
                answerRequest(flow.request, flow);
            }
        }
    }

    void answerRequest(const Packet &packet, Flow &flow)
    {
        const bool closes = m_draining || (packet.data.size() > 6 && packet.data.compare(packet.data.size() - 6, 6, " close") == 0);
        reply(packet, static_cast<std::uint8_t>(Ack | (closes ? Fin : 0)), flow.own, flow.expected, flow.lastAnswer);
        flow.own += static_cast<std::uint32_t>(flow.lastAnswer.size());
        flow.ended = closes;
    }

    void reply(const Packet &packet, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data) const
    {
        const Packet answer{packet.destination, packet.source, sequence, acknowledged, packet.echo, flags, data};
        m_socket.send({packet.source.ip, m_requesterPort}, answer.encode());
    }

    std::string m_name;
    std::uint64_t m_id;
    std::string m_service;
    std::string m_zone;
    Address m_address;
    std::uint16_t m_requesterPort;
    std::vector<Address> m_control;
    DatagramSocket m_socket;
    std::map<std::pair<Address, Address>, Flow> m_flows; // Used by the packet thread only.
    std::uint32_t m_lastSequence = 1000;
    std::vector<std::pair<long long, Packet>> m_lateAnswers; // With the time to send them. Used by the packet thread only.
    std::atomic<long long> m_openingDelayMs = 0;
    std::atomic<long long> m_workMs = 0;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_listens = false;
    std::atomic<bool> m_drainConfirmed = false;
    std::atomic<bool> m_ending = false;
    std::atomic<bool> m_registered = false;
    std::atomic<bool> m_full = false;
    std::atomic<std::size_t> m_runs = 0;
    std::vector<std::thread> m_threads;
};

// ---- Router ----

// Asks each node GET /readyz twice a second; a node with two misses is out until it answers 200 again. Chooses by a hash of the
// four addresses and ports, so that only the flows of a node move when it comes in or drops out.
class Router
{
public:
    struct Node {
        Address readiness;
        Address packets;
    };

    explicit Router(std::vector<Node> nodes)
        : m_nodes(std::move(nodes))
        , m_misses(m_nodes.size(), 2)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_threads.emplace_back([this, i] {
                check(i);
            });
        }
    }

    ~Router()
    {
        m_ending = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    bool in(std::size_t node) const
    {
        const std::lock_guard lock(m_mutex);
        return m_misses[node] < 2;
    }

    bool allIn() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!in(i)) {
                return false;
            }
        }
        return true;
    }

    // The node for a flow; all nodes are used while fewer than half are in.
    std::size_t nodeOf(const Address &source, const Address &destination) const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t inCount = 0;
        for (const int misses : m_misses) {
            inCount += misses < 2 ? 1 : 0;
        }
        const bool useAll = inCount * 2 < m_nodes.size();
        std::size_t best = 0;
        std::uint64_t bestScore = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const std::uint64_t score = scoreOf(source, destination, i);
            if ((useAll || m_misses[i] < 2) && score >= bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    const Node &node(std::size_t index) const
    {
        return m_nodes[index];
    }

private:
    static std::uint64_t scoreOf(const Address &source, const Address &destination, std::size_t node)
    {
        std::uint64_t hash = (std::uint64_t{source.ip} << 16 ^ source.port) * 0x9e3779b97f4a7c15;
        hash = (hash ^ hash >> 29 ^ (std::uint64_t{destination.ip} << 16 ^ destination.port)) * 0xbf58476d1ce4e5b9;
        hash = (hash ^ hash >> 32 ^ (node + 1) * 0x94d049bb133111eb) * 0xd6e8feb86659fd93;
        return hash ^ hash >> 32;
    }

    void check(std::size_t index)
    {
        while (!m_ending) {
            const long long start = elapsedMs();
            const bool ready = http(m_nodes[index].readiness, "GET", "/readyz", "", 400).status == 200;
            {
                const std::lock_guard lock(m_mutex);
                const bool was = m_misses[index] < 2;
                m_misses[index] = ready ? 0 : std::min(m_misses[index] + 1, 2);
                if (was != (m_misses[index] < 2)) {
                    Record::line("router: balancer %zu is %s", index, was ? "out" : "in");
                }
            }
            while (!m_ending && elapsedMs() - start < 500) {
                sleepMs(10);
            }
        }
    }

    std::vector<Node> m_nodes;
    mutable std::mutex m_mutex;
    std::vector<int> m_misses;
    std::atomic<bool> m_ending = false;
    std::vector<std::thread> m_threads;
};

// ---- Requesters ----

// One requester with one flow at a time. All calls block.
class Requester
{
public:
    enum class Outcome { Answered, Reset, Silent };

    Requester(const Address &socketAddress, const Router &router)
        : m_socketAddress(socketAddress)
        , m_socket(socketAddress)
        , m_router(router)
    {
    }

    // Opens a flow from a port to a route: copies after 200 and 600 ms, given up after 1.4 s.
    Outcome open(std::uint16_t port, const Address &route)
    {
        m_source = {m_socketAddress.ip, port};
        m_route = route;
        m_open = false;
        m_sequence = 0x10000U + static_cast<std::uint32_t>(elapsedMs()) * 64;
        m_echo = 0;
        static constexpr long long CopyAt[] = {0, 200, 600};
        const long long start = elapsedMs();
        std::uint32_t copies = 0;
        while (elapsedMs() - start < 1400) {
            if (copies < 3 && elapsedMs() - start >= CopyAt[copies]) {
                m_lastOpeningSentAt = elapsedMs();
                send(Syn, m_sequence, copies++, {});
            }
            const auto packet = receive(10);
            if (!packet) {
                continue;
            }
            if (packet->has(Rst)) {
                return Outcome::Reset;
            }
            if (packet->has(Syn) && packet->acknowledged == m_sequence + 1) {
                ++m_sequence;
                m_acknowledged = packet->sequence + 1;
                m_echo = packet->echo;
                m_open = true;
                send(Ack, m_sequence, m_acknowledged, {});
                return Outcome::Answered;
            }
        }
        return Outcome::Silent;
    }

    // Sends a request on the open flow and waits for its answer; resends after 200 ms, 400 ms, and so on up to 1.6 s.
    Outcome request(const std::string &text, int budgetMs, std::string &answer)
    {
        const long long start = elapsedMs();
        long long resendAt = start;
        long long wait = 200;
        while (elapsedMs() - start < budgetMs) {
            if (elapsedMs() >= resendAt) {
                send(Ack, m_sequence, m_acknowledged, text);
                resendAt = elapsedMs() + wait;
                wait = std::min(wait * 2, 1600LL);
            }
            const auto packet = receive(10);
            if (!packet) {
                continue;
            }
            if (packet->has(Rst)) {
                return Outcome::Reset;
            }
            m_echo = packet->echo;
            if (packet->data.empty() && packet->acknowledged == m_sequence + text.size()) {
                resendAt = start + budgetMs; // The host has the request.
            }
            if (packet->sequence == m_acknowledged && !packet->data.empty()) {
                answer = packet->data;
                m_sequence += static_cast<std::uint32_t>(text.size());
                m_acknowledged += static_cast<std::uint32_t>(packet->data.size());
                if (packet->has(Fin)) {
                    send(Ack | Fin, m_sequence, m_acknowledged + 1, {});
                } else {
                    send(Ack, m_sequence, m_acknowledged, {});
                }
                return Outcome::Answered;
            }
        }
        return Outcome::Silent;
    }

    // Reads what arrives for a while; the flow carries the last echo that arrived. Returns whether the flow was reset.
    bool rest(long long ms)
    {
        const long long start = elapsedMs();
        while (elapsedMs() - start < ms) {
            const auto packet = receive(10);
            if (packet && packet->has(Rst)) {
                return true;
            }
            m_echo = packet ? packet->echo : m_echo;
        }
        return false;
    }

    std::size_t balancer() const
    {
        return m_router.nodeOf(m_source, m_route);
    }

    const Address &source() const
    {
        return m_source;
    }

    // Where the last packet came from, and when the last copy of an opening packet was sent.
    const Address &lastSender() const
    {
        return m_lastSender;
    }

    long long lastOpeningSentAt() const
    {
        return m_lastOpeningSentAt;
    }

private:
    void send(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data)
    {
        const Packet packet{m_source, m_route, sequence, acknowledged, m_echo, flags, data};
        m_socket.send(m_router.node(balancer()).packets, packet.encode());
    }

    std::optional<Packet> receive(int timeoutMs)
    {
        const auto datagram = m_socket.receive(timeoutMs);
        std::optional<Packet> packet = datagram ? Packet::decode(datagram->second) : std::nullopt;
        if (!packet || packet->destination != m_source || packet->source != m_route) {
            return std::nullopt;
        }
        // On an open flow a reset is taken only if its sequence number is near the last one that was acknowledged.
        const std::int64_t distance = static_cast<std::int32_t>(packet->sequence - m_acknowledged);
        if (packet->has(Rst) && m_open && std::abs(distance) > ResetWindow) {
            return std::nullopt;
        }
        m_lastSender = datagram->first;
        return packet;
    }

    static constexpr std::int64_t ResetWindow = 76800;

    Address m_socketAddress;
    DatagramSocket m_socket;
    const Router &m_router;
    bool m_open = false;
    Address m_source;
    Address m_route;
    Address m_lastSender;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledged = 0;
    std::uint32_t m_echo = 0;
    long long m_lastOpeningSentAt = 0;
};

} // namespace Review
