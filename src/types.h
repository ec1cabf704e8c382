// SPDX-License-Identifier: MIT
// Small value types shared by every module: identifiers, time, addresses, bytes.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <type_traits>
#include <vector>

namespace Robinrail {

// A service of the bundle, as numbered by its operators.
enum class ServiceId : std::uint16_t {};

// A target, numbered by itself; unique within the whole deployment.
enum class TargetId : std::uint32_t {};

// A balancer or control replica, numbered in its settings. A replica that is found by its address is
// numbered by it, hence 32 bits.
enum class BalancerId : std::uint16_t {};
enum class ReplicaId : std::uint32_t {};

// One run of a process: a restart always takes a larger number.
enum class Incarnation : std::uint64_t {};

// A flow, numbered by the balancer that opened it.
enum class FlowId : std::uint64_t {};

// A request within its flow, numbered upward by the caller from 1.
enum class RequestId : std::uint32_t {};

// A data centre, numbered in the order in which the bundle declares them.
enum class DataCentreId : std::uint8_t {};

// The plain number inside an identifier, for hashing, printing and arithmetic.
template<typename Id>
constexpr auto value(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

// Time is always passed in; daemons take it from the monotonic clock, tests and
// benchmarks from a virtual one. Microseconds are the unit throughout.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point in time in 4 bytes, to the millisecond, for records of which there are hundreds of thousands.
// Differences are right as long as they are below 49 days.
class CoarseTime
{
public:
    CoarseTime() = default;
    explicit CoarseTime(TimePoint time)
        : m_milliseconds(toMilliseconds(time))
    {
    }

    // The time from this point to `now`.
    Duration elapsed(TimePoint now) const
    {
        return std::chrono::milliseconds(toMilliseconds(now) - m_milliseconds);
    }

private:
    static std::uint32_t toMilliseconds(TimePoint time)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    }

    std::uint32_t m_milliseconds = 0;
};

using Bytes = std::vector<std::uint8_t>;
using BytesView = std::span<const std::uint8_t>;

// An IPv4 address and UDP or TCP port, both in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// One run of one balancer; the unit of ownership and of fencing.
struct BalancerKey {
    BalancerId id{};
    Incarnation incarnation{};

    auto operator<=>(const BalancerKey &) const = default;
};

} // namespace Robinrail
