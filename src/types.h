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

// Number of a service, assigned by the operators in the bundle.
enum class ServiceId : std::uint16_t {};

// Number that a target assigns to itself; unique within the deployment.
enum class TargetId : std::uint32_t {};

// Numbers of balancers and control replicas, taken from their settings. A replica that is discovered by its
// IPv4 address uses the address as its number, hence 32 bits.
enum class BalancerId : std::uint16_t {};
enum class ReplicaId : std::uint32_t {};

// Identifies one run of a process. Each restart gets a larger number.
enum class Incarnation : std::uint64_t {};

// Number of a flow, assigned by the balancer that opened it.
enum class FlowId : std::uint64_t {};

// Number of a request within its flow, assigned by the caller in ascending order from 1.
enum class RequestId : std::uint32_t {};

// Number of a data centre, in the order in which the bundle declares them.
enum class DataCentreId : std::uint8_t {};

// Underlying integer of an identifier, for hashing, printing and arithmetic.
template<typename Id>
constexpr auto value(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

// Functions get the current time as a parameter: daemons pass the monotonic clock, tests and
// benchmarks a virtual one. All durations are in microseconds.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Time stamp of 4 bytes with millisecond resolution, for records that exist by the hundred thousand.
// The counter wraps around; differences are correct below 49 days.
class CoarseTime
{
public:
    CoarseTime() = default;
    explicit CoarseTime(TimePoint time)
        : m_milliseconds(toMilliseconds(time))
    {
    }

    // Time from this time stamp to `now`.
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

// Identifies one run of one balancer. Flow ownership and fencing refer to it.
struct BalancerKey {
    BalancerId id{};
    Incarnation incarnation{};

    auto operator<=>(const BalancerKey &) const = default;
};

} // namespace Robinrail
