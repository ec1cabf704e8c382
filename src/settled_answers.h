// SPDX-License-Identifier: MIT
// Settled answers: recent final answers, kept so that a caller that lost one gets the same again.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <span>

namespace Robinrail {

// A final answer is kept this long after it was last given first.
inline constexpr Duration AnswerCacheTime = std::chrono::seconds(5);

// Most bytes of answer bodies that are kept; the oldest go first.
inline constexpr std::size_t AnswerCacheBytes = std::size_t{32} << 20U;

// A request within a deployment.
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

// Keeps the final messages of settled requests for a while, bounded in time and bytes.
class AnswerCache
{
public:
    void insert(TimePoint now, RequestKey key, std::vector<Message> messages);

    // The messages of a settled request; empty if it is not held (any more).
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
