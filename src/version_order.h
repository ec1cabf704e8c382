// SPDX-License-Identifier: MIT
// Version order: decides whether a proposed version of a configuration is applied.
#pragma once

#include <concepts>
#include <cstdint>

namespace Robinrail {

// Decision on a proposed version.
enum class VersionVerdict : std::uint8_t {
    Apply,
    Superseded, // The current version is the same or higher: nothing to do, and no error.
    Conflict, // The base version of the change is not the current one.
};

// Ordering policy. Parameters of evaluate(): current version, base version of the change, proposed version.
template<typename O>
concept VersionOrder = requires(std::uint64_t version)
{
    {
        O::evaluate(version, version, version)
        } -> std::same_as<VersionVerdict>;
};

// Optimistic concurrency: each change names the version that it replaces, and the second of two concurrent changes is rejected.
struct CompareAndSet {
    static VersionVerdict evaluate(std::uint64_t currentVersion, std::uint64_t base, std::uint64_t /*proposed*/)
    {
        return base == currentVersion ? VersionVerdict::Apply : VersionVerdict::Conflict;
    }
};

// The highest version wins, whatever its base. Resending is idempotent: a version that is not above the
// current one changes nothing.
struct HighestVersion {
    static VersionVerdict evaluate(std::uint64_t currentVersion, std::uint64_t /*base*/, std::uint64_t proposed)
    {
        return proposed > currentVersion ? VersionVerdict::Apply : VersionVerdict::Superseded;
    }
};

static_assert(VersionOrder<CompareAndSet> && VersionOrder<HighestVersion>);

} // namespace Robinrail
