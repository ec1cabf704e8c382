// SPDX-License-Identifier: MIT
// Host: stand-in for a host of a service, as the users' protocol page describes it.
#pragma once

#include "datagram_socket.h"
#include "packet.h"

#include <atomic>
#include <deque>
#include <random>

namespace Review {

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

} // namespace Review
