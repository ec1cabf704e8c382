// SPDX-License-Identifier: MIT
// Answer cache: a map with first-in, first-out expiry.
#include "answer_cache.h"

namespace Robinrail {

namespace {

std::size_t bodyBytes(std::span<const Message> messages)
{
    std::size_t bytes = 0;
    for (const Message &message : messages) {
        const auto *part = std::get_if<AnswerPart>(&message);
        bytes += sizeof(Message) + (part != nullptr ? part->body.size() : 0);
    }
    return bytes;
}

} // namespace

void AnswerCache::insert(TimePoint now, RequestKey key, std::vector<Message> messages)
{
    const std::size_t bytes = bodyBytes(messages);
    if (!m_messages.emplace(key, std::move(messages)).second) {
        return;
    }
    m_order.push_back({now, key, bytes});
    m_bytes += bytes;
    while (m_bytes > AnswerCacheBytes) {
        dropOldest();
    }
}

std::span<const Message> AnswerCache::find(RequestKey key) const
{
    const auto at = m_messages.find(key);
    return at != m_messages.end() ? std::span<const Message>(at->second) : std::span<const Message>();
}

void AnswerCache::expire(TimePoint now)
{
    while (!m_order.empty() && now - m_order.front().settled >= AnswerCacheTime) {
        dropOldest();
    }
}

std::size_t AnswerCache::size() const
{
    return m_order.size();
}

void AnswerCache::dropOldest()
{
    m_messages.erase(m_order.front().key);
    m_bytes -= m_order.front().bytes;
    m_order.pop_front();
}

} // namespace Robinrail
