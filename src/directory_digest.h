// SPDX-License-Identifier: MIT
// Directory digest: a summary of a target directory in a few kilobytes, with which two replicas find the targets that one of
// them lacks without sending those that both have.
//
// Replicas that connect must end up with the same targets. After a power loss, a full list on each link would cost
// replicas x replicas x targets, on processors that callers are waiting for, although the lists are nearly identical.
// Related: the hash trees with which Dynamo's replicas compare their data (DeCandia and others 2007), here with one level.
#pragma once

#include "target_record.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Robinrail {

// Average number of targets per bucket of a digest: the records sent for one difference. Each hash takes five bytes.
inline constexpr std::size_t TargetsPerBucket = 8;

// Minimum and maximum number of buckets in a digest; powers of two.
inline constexpr std::size_t MinDigestBuckets = 16;
inline constexpr std::size_t MaxDigestBuckets = 16384;

// Asks a replica whether its directory is identical, by the hash of a digest with the given number of buckets.
struct DirectoryCompare {
    std::uint32_t buckets = 0;
    std::uint64_t hash = 0;

    auto fields()
    {
        return std::tie(buckets, hash);
    }

    // Whether the number of buckets is one that a replica sends.
    bool isValid() const;
};

// The answer: a hash for each bucket, with the number of buckets from the request. A target's bucket follows from its key.
struct DirectoryDigest {
    bool informed = false; // All targets have had time to become known to the sender.
    std::vector<std::uint32_t> buckets; // Empty if the directories are identical.

    auto fields()
    {
        return std::tie(informed, buckets);
    }

    bool isValid() const;
};

// Queries the targets of the wanted buckets, out of `buckets`.
struct DirectoryQuery {
    std::uint32_t buckets = 0;
    std::vector<std::uint32_t> wanted;

    auto fields()
    {
        return std::tie(buckets, wanted);
    }

    bool isValid() const;
};

// All targets that were queried have been sent.
struct DirectoryQueryDone {
    bool informed = false; // As in DirectoryDigest, at the time of this message.

    auto fields()
    {
        return std::tie(informed);
    }
};

// The number of buckets for a number of targets.
std::size_t digestBuckets(std::size_t targets);

// The bucket of a target, out of `buckets`.
std::uint32_t digestBucket(TargetKey key, std::size_t buckets);

// A hash of the fields that replicas must agree on: the lifetime and the fields whose changes are forwarded, but not those
// that change with each announcement.
std::uint32_t digestOf(const TargetRecord &record);

// One hash over all buckets.
std::uint64_t digestHash(std::span<const std::uint32_t> buckets);

// Buckets whose hashes differ. Both digests must have the same size.
std::vector<std::uint32_t> differingBuckets(std::span<const std::uint32_t> own, std::span<const std::uint32_t> other);

} // namespace Robinrail
