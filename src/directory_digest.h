// SPDX-License-Identifier: MIT
// Directory digest: what a directory of targets holds, in a few kilobytes, so that two replicas find what one of them
// lacks without sending what both have.
//
// The pattern that it answers: replicas that link up must end with the same targets. A list of them all on each link costs
// replicas x replicas x targets after a loss of power, when callers wait for the processors that encode it, although the
// lists are nearly alike. Kin: the hash trees by which Dynamo's replicas compare themselves (DeCandia and others 2007),
// here of one level.
#pragma once

#include "target_record.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Robinrail {

// Targets for each hash of a digest: a difference costs so many records, and each hash five bytes.
inline constexpr std::size_t TargetsPerBucket = 8;

// Fewest and most hashes of a digest; powers of two.
inline constexpr std::size_t MinDigestBuckets = 16;
inline constexpr std::size_t MaxDigestBuckets = 16384;

// Asks a replica whether its directory is the same, by the hash of a digest of so many parts.
struct DirectoryCompare {
    std::uint32_t buckets = 0;
    std::uint64_t hash = 0;

    auto fields()
    {
        return std::tie(buckets, hash);
    }

    // Whether the number of parts is one that a replica sends.
    bool isValid() const;
};

// The answer: a hash for each part, so many as were named in the question. The part of a target follows from its key.
struct DirectoryDigest {
    bool informed = false; // All targets have had time to become known to the sender.
    std::vector<std::uint32_t> buckets; // Empty: the directories are the same.

    auto fields()
    {
        return std::tie(informed, buckets);
    }

    bool isValid() const;
};

// Asks for the targets of these parts, of so many in all.
struct DirectoryQuery {
    std::uint32_t buckets = 0;
    std::vector<std::uint32_t> wanted;

    auto fields()
    {
        return std::tie(buckets, wanted);
    }

    bool isValid() const;
};

// All that was asked for has been sent.
struct DirectoryQueryDone {
    bool informed = false; // As in DirectoryDigest, by now.

    auto fields()
    {
        return std::tie(informed);
    }
};

// The number of parts for so many targets.
std::size_t digestBuckets(std::size_t targets);

// The part of a target among so many.
std::uint32_t digestBucket(TargetKey key, std::size_t buckets);

// A hash of what replicas must agree on: the lifetime and what of it would be news. Not of what each announcement changes.
std::uint32_t digestOf(const TargetRecord &record);

// One hash for all parts.
std::uint64_t digestHash(std::span<const std::uint32_t> buckets);

// Parts whose hashes differ. Both must be of the same size.
std::vector<std::uint32_t> differingBuckets(std::span<const std::uint32_t> own, std::span<const std::uint32_t> other);

} // namespace Robinrail
