// SPDX-License-Identifier: MIT
// Fair queue: queued requests, served round robin over their callers.
#pragma once

#include "types.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cassert>
#include <deque>
#include <optional>
#include <vector>

namespace Robinrail {

// Serves callers round robin, and the requests of each in order of arrival, so that a caller with many requests
// delays only itself (fair queueing after Nagle, RFC 970, applied to requests instead of packets).
template<typename Item>
class FairQueue
{
public:
    using Caller = std::uint32_t; // The caller's address.

    void push(Caller caller, Item item)
    {
        std::deque<Item> &queue = m_queues[caller];
        if (queue.empty()) {
            m_turnOrder.push_back(caller);
        }
        queue.push_back(std::move(item));
        ++m_size;
    }

    // Removes the next request; empty if none is queued.
    std::optional<Item> pop()
    {
        if (m_turnOrder.empty()) {
            return std::nullopt;
        }
        const Caller caller = m_turnOrder.front();
        m_turnOrder.pop_front();
        std::deque<Item> &queue = m_queues.at(caller);
        Item item = std::move(queue.front());
        queue.pop_front();
        updateTurns(caller, queue);
        return item;
    }

    // Returns a popped request to the head of its caller's queue, and gives that caller the next turn.
    void pushFront(Caller caller, Item item)
    {
        std::deque<Item> &queue = m_queues[caller];
        if (!queue.empty()) {
            std::erase(m_turnOrder, caller);
        }
        m_turnOrder.push_front(caller);
        queue.push_front(std::move(item));
        ++m_size;
    }

    // Removes the newest request of the caller with the longest queue, if that queue is longer than
    // `caller`'s own would be with one more request. Under overload this is the request to refuse.
    std::optional<Item> evictFor(Caller caller)
    {
        auto longest = m_queues.end();
        for (auto queue = m_queues.begin(); queue != m_queues.end(); ++queue) {
            const bool longer = longest == m_queues.end() || queue->second.size() > longest->second.size()
                || (queue->second.size() == longest->second.size() && queue->first < longest->first);
            longest = longer ? queue : longest;
        }
        const auto own = m_queues.find(caller);
        const std::size_t ownLength = own != m_queues.end() ? own->second.size() : 0;
        if (longest == m_queues.end() || longest->second.size() <= ownLength + 1) {
            return std::nullopt;
        }
        Item item = std::move(longest->second.back());
        longest->second.pop_back();
        assert(!longest->second.empty());
        --m_size;
        return item;
    }

    std::size_t size() const
    {
        return m_size;
    }

private:
    void updateTurns(Caller caller, const std::deque<Item> &queue)
    {
        --m_size;
        if (queue.empty()) {
            m_queues.erase(caller);
        } else {
            m_turnOrder.push_back(caller);
        }
    }

    boost::unordered_flat_map<Caller, std::deque<Item>> m_queues;
    std::deque<Caller> m_turnOrder; // Callers with queued requests, each once.
    std::size_t m_size = 0;
};

} // namespace Robinrail
