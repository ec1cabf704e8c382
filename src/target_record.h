// SPDX-License-Identifier: MIT
// Target record: what a target announced of itself, as replicas and balancers pass it on.
#pragma once

#include "types.h"

#include <string>
#include <tuple>

namespace Robinrail {

// A target. A restart has another key, or the same one and a later birth. Never 0.
enum class TargetKey : std::uint64_t {};

// One lifetime of a target.
struct TargetLifetime {
    TargetKey key{};
    std::uint64_t born = 0; // As in TargetRecord.

    auto operator<=>(const TargetLifetime &) const = default;

    auto fields()
    {
        return std::tie(key, born);
    }
};

enum class TargetPhase : std::uint8_t {
    Serving,
    Draining, // Finishes its flows and gets no new ones.
    Left, // Its lifetime is over.
};

struct TargetRecord {
    TargetKey key{};
    std::string service;
    Endpoint address;
    DataCentreId dataCentre{};
    std::uint32_t slots = 1; // Requests that it runs at a time.
    TargetPhase phase = TargetPhase::Serving;
    Duration warmupLeft{}; // How long it stays slow, from when this was announced.
    std::uint64_t sequence = 0; // Rises with every announcement of a lifetime.
    std::uint64_t born = 0; // When the lifetime began by the target's own clock, Unix milliseconds; 0: not told.

    static constexpr std::size_t OldestFields = 8;

    auto fields()
    {
        return std::tie(key, service, address, dataCentre, slots, phase, warmupLeft, sequence, born);
    }

    // Whether this is news to somebody who holds `other`. Nothing follows the end of a lifetime but a later one.
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

    // Whether balancers must hear of the difference.
    bool differs(const TargetRecord &other) const
    {
        return service != other.service || address != other.address || slots != other.slots || phase != other.phase || born != other.born;
    }
};

// A record as one replica vouches for it.
struct TargetStatus {
    TargetRecord record;
    bool silent = false; // No announcement reached any replica for a while.
    Duration age{}; // Since the last announcement.
    Duration known{}; // Since the first one, as far as anybody heard it; it orders lifetimes at one address.

    auto fields()
    {
        return std::tie(record, silent, age, known);
    }
};

} // namespace Robinrail
