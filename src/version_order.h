// SPDX-License-Identifier: MIT
// Version order: which of two versions of a configuration wins.
#pragma once

#include <concepts>
#include <cstdint>

namespace Robinrail {

// What becomes of a proposed version.
enum class VersionVerdict : std::uint8_t {
    Apply,
    Superseded, // A version that is as high or higher is held already: nothing to do, and no error.
    Conflict, // Built on a version that is not the held one.
};

// A policy of ordering: the held version, the one that the change builds on, and the proposed one.
template<typename O>
concept VersionOrder = requires(std::uint64_t version)
{
    {
        O::evaluate(version, version, version)
        } -> std::same_as<VersionVerdict>;
};

// Each change names the version that it replaces, so that of two racing changes one is told to think again.
struct CompareAndSet {
    static VersionVerdict evaluate(std::uint64_t held, std::uint64_t base, std::uint64_t /*proposed*/)
    {
        return base == held ? VersionVerdict::Apply : VersionVerdict::Conflict;
    }
};

// The highest version holds, whatever it was built on. Resending is harmless: a version that is not above
// the held one changes nothing.
struct HighestVersion {
    static VersionVerdict evaluate(std::uint64_t held, std::uint64_t /*base*/, std::uint64_t proposed)
    {
        return proposed > held ? VersionVerdict::Apply : VersionVerdict::Superseded;
    }
};

static_assert(VersionOrder<CompareAndSet> && VersionOrder<HighestVersion>);

} // namespace Robinrail
