// SPDX-License-Identifier: MIT
// Requesters: stand-ins for the callers of a route, whose flows carry requests.
#pragma once

#include "datagram_socket.h"
#include "packet.h"
#include "router.h"

#include <algorithm>
#include <atomic>
#include <random>

namespace Review {

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
