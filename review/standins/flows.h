// SPDX-License-Identifier: MIT
// Flows: stand-ins for hosts, requesters and the platform's routers, as the users' protocol page describes them.
#pragma once

#include "loopback.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <random>
#include <set>

namespace Review {

inline constexpr std::uint8_t FlagReset = 8;
inline constexpr std::uint8_t FlagSyn = 2;
inline constexpr std::uint8_t FlagFin = 32;
inline constexpr std::uint8_t FlagAck = 128;
inline constexpr std::size_t HeadBytes = 32;
inline constexpr std::size_t NameBytes = 8; // The intended host, in front of a packet to a host.

struct Packet {
    std::uint32_t src = 0;
    std::uint16_t sport = 0;
    std::uint32_t dst = 0;
    std::uint16_t dport = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::string data;
    std::uint32_t sum = 0; // Decoded packets only.

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }

    // Covers everything except echo, pad and BOUNCED.
    std::uint32_t expectedSum() const
    {
        std::uint32_t hash = 0x811c9dc5;
        const auto add = [&hash](std::uint64_t number) {
            for (int i = 0; i < 8; ++i) {
                hash = (hash ^ static_cast<std::uint8_t>(number >> (8 * i))) * 16777619U;
            }
        };
        for (const std::uint64_t number : {std::uint64_t{src},
                                           std::uint64_t{sport},
                                           std::uint64_t{dst},
                                           std::uint64_t{dport},
                                           std::uint64_t{seq},
                                           std::uint64_t{ack},
                                           std::uint64_t{flags & 0xfeU},
                                           std::uint64_t{data.size()}}) {
            add(number);
        }
        for (const char byte : data) {
            add(static_cast<std::uint8_t>(byte));
        }
        return hash | 1U;
    }

    std::string encode() const
    {
        std::string bytes(HeadBytes, '\0');
        const auto store = [&bytes](std::size_t at, std::uint64_t number, std::size_t width) {
            for (std::size_t i = 0; i < width; ++i) {
                bytes[at + i] = static_cast<char>(number >> (8 * i));
            }
        };
        store(0, data.size(), 2);
        store(2, src, 4);
        store(6, dport, 2);
        store(8, dst, 4);
        store(12, sport, 2);
        store(14, expectedSum(), 4);
        store(18, seq, 4);
        store(22, ack, 4);
        store(26, echo, 4);
        store(30, flags, 1);
        return bytes + data;
    }

    static std::optional<Packet> decode(const std::string &bytes)
    {
        const auto load = [&bytes](std::size_t at, std::size_t width) {
            std::uint64_t number = 0;
            for (std::size_t i = 0; i < width; ++i) {
                number |= std::uint64_t{static_cast<std::uint8_t>(bytes[at + i])} << (8 * i);
            }
            return number;
        };
        if (bytes.size() < HeadBytes || load(0, 2) != bytes.size() - HeadBytes) {
            return std::nullopt;
        }
        Packet packet;
        packet.src = static_cast<std::uint32_t>(load(2, 4));
        packet.dport = static_cast<std::uint16_t>(load(6, 2));
        packet.dst = static_cast<std::uint32_t>(load(8, 4));
        packet.sport = static_cast<std::uint16_t>(load(12, 2));
        packet.sum = static_cast<std::uint32_t>(load(14, 4));
        packet.seq = static_cast<std::uint32_t>(load(18, 4));
        packet.ack = static_cast<std::uint32_t>(load(22, 4));
        packet.echo = static_cast<std::uint32_t>(load(26, 4));
        packet.flags = static_cast<std::uint8_t>(load(30, 1));
        packet.data = bytes.substr(HeadBytes);
        return packet;
    }
};

inline std::uint32_t addressNumber(const std::string &ip)
{
    return ntohl(socketAddress(ip, 0).sin_addr.s_addr);
}

inline std::string addressText(std::uint32_t number)
{
    in_addr address{htonl(number)};
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

class DatagramSocket
{
public:
    bool bind(const std::string &ip, int port)
    {
        m_handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(ip, port);
        return ::bind(m_handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    ~DatagramSocket()
    {
        if (m_handle >= 0) {
            ::close(m_handle);
        }
    }

    void send(const std::string &ip, int port, const std::string &bytes) const
    {
        const sockaddr_in address = socketAddress(ip, port);
        ::sendto(m_handle, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    // Waits for a datagram; empty if none came in time.
    std::string receive(int timeoutMs, std::string &from) const
    {
        pollfd ready{m_handle, POLLIN, 0};
        if (::poll(&ready, 1, timeoutMs) != 1) {
            return {};
        }
        char bytes[4096];
        sockaddr_in sender{};
        socklen_t size = sizeof(sender);
        const ssize_t count = ::recvfrom(m_handle, bytes, sizeof(bytes), 0, reinterpret_cast<sockaddr *>(&sender), &size);
        from = addressText(ntohl(sender.sin_addr.s_addr));
        return count > 0 ? std::string(bytes, static_cast<std::size_t>(count)) : std::string();
    }

private:
    int m_handle = -1;
};

// A flow by the requester's port and the route.
using FlowName = std::pair<std::uint16_t, std::uint16_t>;

// A host: announces itself, answers liveness checks, and serves flows.
class Host
{
public:
    Host(Record &record, const Deployment &deployment, std::string service, std::string zone, int address, std::uint64_t id)
        : m_record(record)
        , m_deployment(deployment)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_ip(deployment.ip(address))
        , m_id(id)
        , m_random(static_cast<std::uint32_t>(id))
    {
    }

    ~Host()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        if (m_listener >= 0) {
            ::close(m_listener);
        }
    }

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    bool start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(m_ip, m_deployment.hostPort());
        const bool bound = ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && ::listen(m_listener, 64) == 0
            && m_socket.bind(m_ip, m_deployment.hostPort());
        if (bound) {
            m_threads.emplace_back([this] {
                announce();
            });
            m_threads.emplace_back([this] {
                answerChecks();
            });
            m_threads.emplace_back([this] {
                serve();
            });
        }
        return bound;
    }

    const std::string &ip() const
    {
        return m_ip;
    }

    // While it is slow, it answers an opening packet only after this time.
    std::atomic<int> openingDelayMs{0};

    // Requests that it ran.
    std::size_t ran() const
    {
        return m_ran;
    }

    // Whether the flow is open here.
    bool holds(FlowName name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto at = m_flows.find(name);
        return at != m_flows.end() && at->second.open;
    }

    // Packets of the flow that arrived here without the flow being open here.
    int strangePackets(FlowName name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto at = m_strange.find(name);
        return at != m_strange.end() ? at->second : 0;
    }

private:
    static constexpr int WorkMs = 30;

    struct Flow {
        std::uint32_t first = 0; // The sequence number of its SYN+ACK.
        std::uint32_t next = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0;
        bool open = false;
        std::uint32_t requester = 0;
    };

    struct Due {
        Clock::time_point at;
        FlowName name;
        Packet packet;
        bool answer = false;
    };

    void announce()
    {
        std::size_t node = static_cast<std::size_t>(m_id) % 3;
        std::string named;
        for (std::uint64_t sequence = 1; !m_stop; ++sequence) {
            char id[64];
            std::snprintf(id, sizeof(id), "/instances/i-%llx", static_cast<unsigned long long>(m_id));
            const std::string body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" + std::to_string(m_deployment.hostPort())
                + "\",\"zone\":\"" + m_zone
                + "\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(sequence) + "}";
            const std::string target = named.empty() ? m_deployment.ip(1 + static_cast<int>(node)) : named;
            const Answer answer = call(target, m_deployment.controlPort(), "PUT", id, body);
            if (answer.status != 200) {
                named.clear();
                node = (node + 1) % 3;
                pause(50);
                continue;
            }
            const std::size_t at = answer.body.find("http://");
            if (at != std::string::npos) {
                named = answer.body.substr(at + 7, answer.body.find(':', at + 7) - at - 7);
            }
            for (int waited = 0; waited < HeartbeatMs && !m_stop; waited += 10) {
                pause(10);
            }
        }
    }

    void answerChecks()
    {
        while (!m_stop) {
            pollfd ready{m_listener, POLLIN, 0};
            if (::poll(&ready, 1, 50) != 1) {
                continue;
            }
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            char request[1024];
            pollfd readable{connection, POLLIN, 0};
            if (::poll(&readable, 1, 200) == 1 && ::recv(connection, request, sizeof(request), 0) > 0) {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
            ::close(connection);
        }
    }

    void serve()
    {
        while (!m_stop) {
            std::string from;
            const std::string bytes = m_socket.receive(2, from);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (bytes.size() >= NameBytes) {
                receive(bytes, from);
            }
            const auto now = Clock::now();
            for (auto at = m_due.begin(); at != m_due.end();) {
                if (now < at->at) {
                    ++at;
                    continue;
                }
                sendDue(*at);
                at = m_due.erase(at);
            }
        }
    }

    void receive(const std::string &bytes, const std::string &from)
    {
        std::uint64_t intended = 0;
        for (std::size_t i = 0; i < NameBytes; ++i) {
            intended = intended << 8U | static_cast<std::uint8_t>(bytes[i]);
        }
        const std::optional<Packet> packet = Packet::decode(bytes.substr(NameBytes));
        if (!packet || packet->sum != packet->expectedSum()) {
            m_record.line("host %s: unreadable packet from %s", m_ip.c_str(), from.c_str());
            return;
        }
        if (intended != 0 && intended != m_id) {
            return;
        }
        const FlowName name{packet->sport, packet->dport};
        if (packet->has(FlagSyn) && !packet->has(FlagAck)) {
            Flow &flow = m_flows[name];
            if (flow.open) {
                return;
            }
            flow.first = flow.first != 0 ? flow.first : static_cast<std::uint32_t>(m_random()) | 1U;
            flow.next = flow.first + 1;
            flow.expected = packet->seq + 1;
            flow.echo = packet->echo;
            flow.requester = packet->src;
            m_record.line("host %s: opening packet, copy %u, of flow %u, by %s", m_ip.c_str(), packet->ack, name.first, from.c_str());
            Packet answer = reply(*packet, FlagSyn | FlagAck);
            answer.seq = flow.first;
            answer.ack = flow.expected;
            m_due.push_back({Clock::now() + milliseconds(openingDelayMs), name, answer});
            return;
        }
        const auto at = m_flows.find(name);
        const bool known = at != m_flows.end() && (at->second.open || packet->ack == at->second.first + 1);
        if (!known) {
            ++m_strange[name];
            m_record.line("host %s: packet of flow %u, which is not open here, by %s", m_ip.c_str(), name.first, from.c_str());
            if (!packet->has(FlagReset)) {
                Packet answer = reply(*packet, FlagReset);
                answer.seq = packet->ack;
                answer.ack = packet->seq;
                send(answer);
            }
            return;
        }
        Flow &flow = at->second;
        if (!flow.open) {
            flow.open = true;
            m_record.line("host %s: flow %u is open here, by %s", m_ip.c_str(), name.first, from.c_str());
        }
        flow.echo = packet->echo;
        if (packet->has(FlagReset)) {
            m_flows.erase(at);
            return;
        }
        if (!packet->data.empty() && packet->seq == flow.expected) {
            flow.expected += static_cast<std::uint32_t>(packet->data.size());
            ++m_ran;
            m_record.line("host %s: runs %s of flow %u", m_ip.c_str(), packet->data.c_str(), name.first);
            Packet answer = reply(*packet, FlagAck);
            answer.data = packet->data + " stamp " + m_ip;
            m_due.push_back({Clock::now() + milliseconds(WorkMs), name, answer, true});
        }
    }

    // Sends a packet when it is due; an answer with the flow's numbers at that time.
    void sendDue(const Due &due)
    {
        const auto at = m_flows.find(due.name);
        if (at == m_flows.end() || (at->second.open && due.packet.has(FlagSyn))) {
            return;
        }
        Packet packet = due.packet;
        packet.echo = at->second.echo;
        if (due.answer) {
            packet.seq = at->second.next;
            packet.ack = at->second.expected;
            at->second.next += static_cast<std::uint32_t>(packet.data.size());
        }
        send(packet);
    }

    static Packet reply(const Packet &packet, std::uint8_t flags)
    {
        Packet answer;
        answer.src = packet.dst;
        answer.sport = packet.dport;
        answer.dst = packet.src;
        answer.dport = packet.sport;
        answer.echo = packet.echo;
        answer.flags = flags;
        return answer;
    }

    void send(const Packet &packet)
    {
        m_socket.send(addressText(packet.dst), m_deployment.packetPort(), packet.encode());
    }

    Record &m_record;
    const Deployment &m_deployment;
    std::string m_service;
    std::string m_zone;
    std::string m_ip;
    std::uint64_t m_id;
    std::mt19937 m_random;
    DatagramSocket m_socket;
    int m_listener = -1;
    std::mutex m_mutex;
    std::map<FlowName, Flow> m_flows;
    std::map<FlowName, int> m_strange;
    std::deque<Due> m_due;
    std::atomic<std::size_t> m_ran{0};
    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
};

// The platform's routers of one zone: ask each node every 500 ms whether it is ready; a node with two misses is out.
class Router
{
public:
    Router(Record &record, const Deployment &deployment, std::vector<Node *> nodes)
        : m_record(record)
        , m_deployment(deployment)
        , m_nodes(std::move(nodes))
        , m_misses(m_nodes.size(), 2)
        , m_thread([this] {
            watch();
        })
    {
    }

    ~Router()
    {
        m_stop = true;
        m_thread.join();
    }

    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // The node for a flow; only the flows of a node that drops out move. All nodes if fewer than half are in.
    const Node &nodeFor(std::uint16_t port)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto in = std::count_if(m_misses.begin(), m_misses.end(), [](int misses) {
            return misses < 2;
        });
        const bool all = in * 2 < static_cast<std::ptrdiff_t>(m_nodes.size());
        std::size_t best = m_nodes.size();
        std::uint64_t bestScore = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            std::uint64_t score = (port * 1000003ULL + i * 7919ULL + 1) * 0x9e3779b97f4a7c15ULL;
            score ^= score >> 29U;
            score *= 0xbf58476d1ce4e5b9ULL;
            if ((all || m_misses[i] < 2) && (best == m_nodes.size() || score > bestScore)) {
                best = i;
                bestScore = score;
            }
        }
        return *m_nodes[best];
    }

    bool allIn()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::all_of(m_misses.begin(), m_misses.end(), [](int misses) {
            return misses < 2;
        });
    }

private:
    void watch()
    {
        while (!m_stop) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const bool ready = m_deployment.ready(*m_nodes[i]);
                const std::lock_guard<std::mutex> lock(m_mutex);
                const bool wasIn = m_misses[i] < 2;
                m_misses[i] = ready ? 0 : m_misses[i] + 1;
                if (wasIn != (m_misses[i] < 2)) {
                    m_record.line("router: %s is %s", m_nodes[i]->name.c_str(), wasIn ? "out" : "in");
                }
            }
            pause(500);
        }
    }

    Record &m_record;
    const Deployment &m_deployment;
    std::vector<Node *> m_nodes;
    std::vector<int> m_misses;
    std::mutex m_mutex;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

// Requesters at one address: each flow carries requests one after the other, as its owner asks for them.
class Requesters
{
public:
    struct Reset {
        FlowName name;
        std::string sender;
    };

    Requesters(Record &record, const Deployment &deployment, Router &router, std::string route, int address)
        : m_record(record)
        , m_deployment(deployment)
        , m_router(router)
        , m_route(std::move(route))
        , m_ip(deployment.ip(address))
        , m_random(static_cast<std::uint32_t>(::getpid()))
    {
    }

    ~Requesters()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    Requesters(const Requesters &) = delete;
    Requesters &operator=(const Requesters &) = delete;

    bool start()
    {
        if (!m_socket.bind(m_ip, m_deployment.packetPort())) {
            return false;
        }
        m_thread = std::thread([this] {
            run();
        });
        return true;
    }

    // Opens a flow; its first request follows at once.
    FlowName open()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const FlowName name{++m_lastPort, RoutePort};
        Flow &flow = m_flows[name];
        flow.seq = static_cast<std::uint32_t>(m_random());
        flow.began = Clock::now();
        sendOpening(name, flow);
        return name;
    }

    // Sends the next request of an open flow; false if the flow is not open.
    bool request(FlowName name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Flow &flow = m_flows[name];
        if (!flow.open || flow.ended) {
            return false;
        }
        beginRequest(name, flow);
        return true;
    }

    int answered(FlowName name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_flows[name].answered;
    }

    bool isOpen(FlowName name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_flows[name].open && !m_flows[name].ended;
    }

    // Resets that reached an open flow.
    std::vector<Reset> resets()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_resets;
    }

    static constexpr std::uint16_t RoutePort = 443;

private:
    struct Flow {
        std::uint32_t seq = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0; // The last one received.
        int copies = 0;
        bool open = false;
        bool ended = false;
        Clock::time_point began;
        std::string unanswered; // The packet of the request under way, without its echo.
        Packet underWay;
        Clock::time_point resendAt;
        int resendMs = 200;
        int requests = 0;
        int answered = 0;
    };

    void send(FlowName name, const Packet &packet)
    {
        m_socket.send(m_router.nodeFor(name.first).ip, m_deployment.packetPort(), packet.encode());
    }

    Packet packetOf(FlowName name, const Flow &flow, std::uint8_t flags) const
    {
        Packet packet;
        packet.src = addressNumber(m_ip);
        packet.sport = name.first;
        packet.dst = addressNumber(m_route);
        packet.dport = name.second;
        packet.seq = flow.seq;
        packet.ack = flow.expected;
        packet.echo = flow.echo;
        packet.flags = flags;
        return packet;
    }

    void sendOpening(FlowName name, Flow &flow)
    {
        Packet packet = packetOf(name, flow, FlagSyn);
        packet.ack = static_cast<std::uint32_t>(flow.copies++);
        send(name, packet);
    }

    void beginRequest(FlowName name, Flow &flow)
    {
        Packet packet = packetOf(name, flow, FlagAck);
        packet.data = "request-" + std::to_string(name.first) + "-" + std::to_string(++flow.requests);
        flow.seq += static_cast<std::uint32_t>(packet.data.size());
        flow.underWay = packet;
        flow.unanswered = packet.data;
        flow.resendMs = 200;
        flow.resendAt = Clock::now() + milliseconds(flow.resendMs);
        m_record.line(
            "requester: flow %u sends %s with echo %08x by %s", name.first, packet.data.c_str(), packet.echo, m_router.nodeFor(name.first).name.c_str());
        send(name, packet);
    }

    void run()
    {
        while (!m_stop) {
            std::string from;
            const std::string bytes = m_socket.receive(2, from);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!bytes.empty()) {
                receive(bytes, from);
            }
            const auto now = Clock::now();
            for (auto &[name, flow] : m_flows) {
                advance(now, name, flow);
            }
        }
    }

    void advance(Clock::time_point now, FlowName name, Flow &flow)
    {
        if (flow.ended) {
            return;
        }
        if (!flow.open) {
            static constexpr int CopyAfterMs[] = {0, 200, 600};
            if (flow.copies < 3 && now >= flow.began + milliseconds(CopyAfterMs[flow.copies])) {
                sendOpening(name, flow);
            } else if (now >= flow.began + milliseconds(1400)) {
                flow.ended = true;
            }
        } else if (!flow.unanswered.empty() && now >= flow.resendAt) {
            flow.resendMs = std::min(flow.resendMs * 2, 1600);
            flow.resendAt = now + milliseconds(flow.resendMs);
            flow.underWay.echo = flow.echo;
            send(name, flow.underWay);
        }
    }

    void receive(const std::string &bytes, const std::string &from)
    {
        const std::optional<Packet> packet = Packet::decode(bytes);
        if (!packet) {
            return;
        }
        const FlowName name{packet->dport, packet->sport};
        const auto at = m_flows.find(name);
        if (at == m_flows.end() || at->second.ended) {
            return;
        }
        Flow &flow = at->second;
        if (packet->has(FlagReset)) {
            m_record.line("requester: flow %u gets a reset from %s", name.first, from.c_str());
            if (flow.open) {
                m_resets.push_back({name, from});
            }
            flow.ended = true;
            return;
        }
        flow.echo = packet->echo;
        if (packet->has(FlagSyn)) {
            m_record.line(
                "requester: flow %u gets SYN+ACK from %s with echo %08x%s", name.first, from.c_str(), packet->echo, flow.open ? ", already open" : "");
            if (!flow.open) {
                flow.open = true;
                flow.seq += 1;
                flow.expected = packet->seq + 1;
                beginRequest(name, flow);
            }
            return;
        }
        if (packet->data.empty()) {
            return;
        }
        if (packet->seq == flow.expected) {
            flow.expected += static_cast<std::uint32_t>(packet->data.size());
            if (!flow.unanswered.empty() && packet->data.rfind(flow.unanswered + " ", 0) == 0) {
                flow.unanswered.clear();
                ++flow.answered;
                m_record.line("requester: flow %u gets the answer to request %d from %s", name.first, flow.requests, from.c_str());
            }
        }
        send(name, packetOf(name, flow, FlagAck));
    }

    Record &m_record;
    const Deployment &m_deployment;
    Router &m_router;
    std::string m_route;
    std::string m_ip;
    std::mt19937 m_random;
    DatagramSocket m_socket;
    std::mutex m_mutex;
    std::map<FlowName, Flow> m_flows;
    std::vector<Reset> m_resets;
    std::uint16_t m_lastPort = 40000;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace Review
