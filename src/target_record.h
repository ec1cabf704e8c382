// SPDX-License-Identifier: MIT
// Target record: what a target announced about itself, in the form that replicas and balancers exchange.
#pragma once

#include "types.h"

#include <string>
#include <tuple>

namespace Robinrail {

// Identifies a target; never 0. After a restart a target has a new key, or the same key with a later `born`.
enum class TargetKey : std::uint64_t {};

// One lifetime of a target: from a start of its process to its end.
struct TargetLifetime {
    TargetKey key{};
    std::uint64_t born = 0; // See TargetRecord.

    auto operator<=>(const TargetLifetime &) const = default;

    auto fields()
    {
        return std::tie(key, born);
    }
};

enum class TargetPhase : std::uint8_t {
    Serving,
    Draining, // Serves its open flows and is assigned no new ones.
    Left, // Final: the lifetime has ended.
};

struct TargetRecord {
    TargetKey key{};
    std::string service;
    Endpoint address;
    DataCentreId dataCentre{};
    std::uint32_t slots = 1; // Maximum number of requests that run concurrently.
    TargetPhase phase = TargetPhase::Serving;
    Duration warmupLeft{}; // Remaining warm-up time at the time of the announcement.
    std::uint64_t sequence = 0; // Increases with every announcement within a lifetime.
    std::uint64_t born = 0; // Start of the lifetime by the target's own clock, Unix milliseconds; 0 if not given.

    static constexpr std::size_t OldestFields = 8;

    auto fields()
    {
        return std::tie(key, service, address, dataCentre, slots, phase, warmupLeft, sequence, born);
    }

    // Whether this record replaces `other`. A lifetime that ended is only replaced by a later lifetime.
    bool supersedes(const TargetRecord &other) const
    {
        if (born != other.born) {
            return born > other.born;
        }
        if (other.phase == TargetPhase::Left) {
            return false;
        }
        return phase == TargetPhase::Left || sequence > other.sequence;
    }

    // Whether the difference is relevant to balancers.
    bool differs(const TargetRecord &other) const
    {
        return service != other.service || address != other.address || slots != other.slots || phase != other.phase || born != other.born;
    }
};

// A record together with what one replica knows about it.
struct TargetStatus {
    TargetRecord record;
    bool silent = false; // No announcement reached any replica within the silence limit.
    Duration age{}; // Time since the last announcement.
    Duration known{}; // Time since the first announcement known to any replica; orders lifetimes that share an address.

    auto fields()
    {
        return std::tie(record, silent, age, known);
    }
};

} // namespace Robinrail
