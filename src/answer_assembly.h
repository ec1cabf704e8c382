// SPDX-License-Identifier: MIT
// Answer assembly: reassembles the parts of one attempt's answer, which may arrive in any order.
#pragma once

#include "message.h"

#include <vector>

namespace Robinrail {

// Result of adding a part.
enum class PartEffect : std::uint8_t {
    Accepted,
    Completed,
    Ignored, // A duplicate, or it contradicts an earlier part.
};

// Reassembly buffer of one attempt. Nothing is sent to the caller until all parts have arrived, so a caller never gets a partial answer.
class AnswerAssembly
{
public:
    PartEffect add(std::uint16_t index, std::uint16_t count, Bytes body)
    {
        if (count == 0 || count > MaxAnswerParts || index >= count || (m_count != 0 && m_count != count)) {
            return PartEffect::Ignored;
        }
        if (m_count == 0) {
            m_count = count;
            m_parts.resize(count);
        }
        const std::uint64_t bit = std::uint64_t{1} << index;
        if ((m_present & bit) != 0) {
            return PartEffect::Ignored;
        }
        m_present |= bit;
        m_parts[index] = std::move(body);
        ++m_received;
        return m_received == m_count ? PartEffect::Completed : PartEffect::Accepted;
    }

    // All parts in order; valid only after add() has returned Completed.
    std::vector<Bytes> &parts()
    {
        return m_parts;
    }

    bool started() const
    {
        return m_count != 0;
    }

private:
    static_assert(MaxAnswerParts <= 64, "one bit for each part");

    std::vector<Bytes> m_parts;
    std::uint64_t m_present = 0;
    std::uint16_t m_count = 0;
    std::uint16_t m_received = 0;
};

} // namespace Robinrail
