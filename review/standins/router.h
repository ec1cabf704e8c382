// SPDX-License-Identifier: MIT
// Router: stand-in for the platform's routers of a zone.
#pragma once

#include "loopback.h"

#include <algorithm>
#include <atomic>

namespace Review {

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

} // namespace Review
