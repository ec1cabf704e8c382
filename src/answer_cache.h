// SPDX-License-Identifier: MIT
// Answer cache: recent final answers, so that a caller whose answer was lost gets the same answer again.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <span>

namespace Robinrail {

// A final answer is kept for this long after it was first sent.
inline constexpr Duration AnswerCacheTime = std::chrono::seconds(5);

// Maximum size of the cached messages; the oldest are evicted first.
inline constexpr std::size_t AnswerCacheBytes = std::size_t{32} << 20U;

// Identifies a request within a deployment.
struct RequestKey {
    FlowId flow{};
    RequestId request{};

    auto operator<=>(const RequestKey &) const = default;
};

struct RequestKeyHash {
    std::size_t operator()(const RequestKey &key) const
    {
        constexpr std::uint64_t OddMultiplier = 0x9e3779b97f4a7c15;
        return value(key.flow) ^ (value(key.request) * OddMultiplier);
    }
};

// Caches the final messages of completed requests, bounded in time and size.
class AnswerCache
{
public:
    void insert(TimePoint now, RequestKey key, std::vector<Message> messages);

    // Final messages of a completed request; empty if they are not cached.
    std::span<const Message> find(RequestKey key) const;

    void expire(TimePoint now);

    std::size_t size() const;

private:
    struct Entry {
        TimePoint settled;
        RequestKey key;
        std::size_t bytes = 0;
    };
    void dropOldest();

    boost::unordered_flat_map<RequestKey, std::vector<Message>, RequestKeyHash> m_messages;
    std::deque<Entry> m_order;
    std::size_t m_bytes = 0;
};

} // namespace Robinrail
