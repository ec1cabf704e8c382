// SPDX-License-Identifier: MIT
// Fair queue: waiting requests, served in turn over their callers.
#pragma once

#include "types.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cassert>
#include <deque>
#include <optional>
#include <vector>

namespace Robinrail {

// Serves callers in round robin, each in order of arrival, so that a caller that asks a lot waits for
// itself and not others for it (fair queueing after Nagle, RFC 970, with requests for packets).
template<typename Item>
class FairQueue
{
public:
    using Caller = std::uint32_t; // The caller's address.

    void push(Caller caller, Item item)
    {
        std::deque<Item> &line = m_lines[caller];
        if (line.empty()) {
            m_turns.push_back(caller);
        }
        line.push_back(std::move(item));
        ++m_size;
    }

    // The request whose turn it is.
    std::optional<Item> pop()
    {
        if (m_turns.empty()) {
            return std::nullopt;
        }
        const Caller caller = m_turns.front();
        m_turns.pop_front();
        std::deque<Item> &line = m_lines.at(caller);
        Item item = std::move(line.front());
        line.pop_front();
        keepOrDrop(caller, line);
        return item;
    }

    // Puts a popped request back to the head of its caller's line, with the next turn.
    void pushFront(Caller caller, Item item)
    {
        std::deque<Item> &line = m_lines[caller];
        if (!line.empty()) {
            std::erase(m_turns, caller);
        }
        m_turns.push_front(caller);
        line.push_front(std::move(item));
        ++m_size;
    }

    // Takes the newest request of the caller with the longest line, if that line is longer than
    // `caller`'s own with one request more. Under overload this is the one to refuse.
    std::optional<Item> evictFor(Caller caller)
    {
        auto longest = m_lines.end();
        for (auto line = m_lines.begin(); line != m_lines.end(); ++line) {
            const bool longer = longest == m_lines.end() || line->second.size() > longest->second.size()
                || (line->second.size() == longest->second.size() && line->first < longest->first);
            longest = longer ? line : longest;
        }
        const auto own = m_lines.find(caller);
        const std::size_t ownLength = own != m_lines.end() ? own->second.size() : 0;
        if (longest == m_lines.end() || longest->second.size() <= ownLength + 1) {
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
    void keepOrDrop(Caller caller, const std::deque<Item> &line)
    {
        --m_size;
        if (line.empty()) {
            m_lines.erase(caller);
        } else {
            m_turns.push_back(caller);
        }
    }

    boost::unordered_flat_map<Caller, std::deque<Item>> m_lines;
    std::deque<Caller> m_turns; // Callers with a line, each once.
    std::size_t m_size = 0;
};

} // namespace Robinrail
