// SPDX-License-Identifier: MIT
// Simulation values: addresses, incarnations and request tags that the parts of the simulation share.
#pragma once

#include "simulation.h"

#include <algorithm>
#include <cstring>

namespace Robinrail {

inline constexpr std::uint32_t BalancerNetwork = 0x0a000000;
inline constexpr std::uint32_t TargetNetwork = 0x0b000000;
inline constexpr std::uint32_t CallerNetwork = 0x0c000000;
inline constexpr std::uint32_t NetworkMask = 0xff000000;

// Real incarnations are milliseconds since 1970; values of that size give messages their real length.
inline constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;

inline Bytes packTag(std::uint64_t tag)
{
    Bytes bytes(sizeof(tag));
    std::memcpy(bytes.data(), &tag, sizeof(tag));
    return bytes;
}

inline std::uint64_t unpackTag(const Bytes &bytes)
{
    std::uint64_t tag = 0;
    std::memcpy(&tag, bytes.data(), std::min(bytes.size(), sizeof(tag)));
    return tag;
}

} // namespace Robinrail
