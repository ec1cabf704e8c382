// SPDX-License-Identifier: MIT
// Directory digest: implementation.
#include "directory_digest.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace Robinrail {

namespace {

// Makes the hash that assigns a target to a bucket independent of other hashes of its key.
constexpr std::uint64_t BucketSalt = 0x6469676573740000;

bool isBucketCount(std::size_t buckets)
{
    return std::has_single_bit(buckets) && buckets >= MinDigestBuckets && buckets <= MaxDigestBuckets;
}

} // namespace

bool DirectoryCompare::isValid() const
{
    return isBucketCount(buckets);
}

bool DirectoryDigest::isValid() const
{
    return buckets.empty() || isBucketCount(buckets.size());
}

bool DirectoryQuery::isValid() const
{
    return isBucketCount(buckets) && wanted.size() <= buckets && std::all_of(wanted.begin(), wanted.end(), [this](std::uint32_t bucket) {
               return bucket < buckets;
           });
}

std::size_t digestBuckets(std::size_t targets)
{
    return std::clamp(std::bit_ceil(targets / TargetsPerBucket), MinDigestBuckets, MaxDigestBuckets);
}

std::uint32_t digestBucket(TargetKey key, std::size_t buckets)
{
    assert(std::has_single_bit(buckets));
    return static_cast<std::uint32_t>(hashPair(value(key), BucketSalt) & (buckets - 1));
}

std::uint32_t digestOf(const TargetRecord &record)
{
    const std::uint64_t place = std::uint64_t{record.address.address} << 32U | std::uint64_t{record.address.port} << 16U | value(record.dataCentre);
    const std::uint64_t shape = std::uint64_t{record.slots} << 8U | value(record.phase);
    const std::uint64_t service = XXH3_64bits(record.service.data(), record.service.size());
    const std::uint64_t lifetime = hashPair(value(record.key), record.born);
    return static_cast<std::uint32_t>(hashPair(hashPair(lifetime, place), hashPair(shape, service)));
}

std::uint64_t digestHash(std::span<const std::uint32_t> buckets)
{
    return XXH3_64bits(buckets.data(), buckets.size_bytes());
}

std::vector<std::uint32_t> differingBuckets(std::span<const std::uint32_t> own, std::span<const std::uint32_t> other)
{
    assert(own.size() == other.size());
    std::vector<std::uint32_t> differing;
    for (std::uint32_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] != other[bucket]) {
            differing.push_back(bucket);
        }
    }
    return differing;
}

} // namespace Robinrail
