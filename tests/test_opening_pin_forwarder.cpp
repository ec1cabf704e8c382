// SPDX-License-Identifier: MIT
// The bounds on the opening pins that a replica passes on.
#include "opening_pin_forwarder.h"
#include "pin_fixture.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<OpeningPin> pinsOfCount(std::uint32_t count)
{
    std::vector<OpeningPin> pins;
    for (std::uint32_t caller = 1; caller <= count; ++caller) {
        pins.push_back(pinOf(caller, 101));
    }
    return pins;
}

} // namespace

TEST_CASE("a replica passes on 16 pins per 50 ms and data centre, those of unanswered openings first")
{
    OpeningPinForwarder forwarder;
    std::vector<OpeningPin> pins(10, pinOf(1, 101, Duration{0}, true));
    pins.resize(20, pinOf(2, 101, milliseconds(100)));
    CHECK(forwarder.admit(Start, LocalDataCentre, 1, {pins.begin(), pins.begin() + 10}).size() == 10);
    CHECK(forwarder.admit(Start, LocalDataCentre, 1, pins) == std::vector<OpeningPin>(6, pins.back()));
    CHECK(forwarder.admit(Start + PinForwardInterval - milliseconds(1), LocalDataCentre, 1, pins).empty());
    CHECK(forwarder.admit(Start, RemoteDataCentre, 1, pins).size() == MaxForwardedPins);
    CHECK(forwarder.admit(Start + PinForwardInterval, LocalDataCentre, 1, pins).size() == MaxForwardedPins);
    CHECK(forwarder.dropped() == 14 + 20 + 4 + 4);
}

// Guards against more than MaxForwardedPins per interval at a balancer that gets the pins of its data centre and those for all.
TEST_CASE("pins for all data centres count in each of them")
{
    OpeningPinForwarder forwarder;
    CHECK(forwarder.admit(Start, LocalDataCentre, 1, pinsOfCount(10)).size() == 10);
    CHECK(forwarder.admit(Start, AllDataCentres, 1, pinsOfCount(10)).size() == MaxForwardedPins - 10);
    CHECK(forwarder.admit(Start, LocalDataCentre, 1, pinsOfCount(1)).empty());
    CHECK(forwarder.admit(Start, RemoteDataCentre, 1, pinsOfCount(20)).size() == 10);
    CHECK(forwarder.admit(Start + PinForwardInterval, AllDataCentres, 1, pinsOfCount(20)).size() == MaxForwardedPins);
}

// Guards against a replica that fills its own link: with 26 followers and 16 pins per 50 ms it would send 177 KB/s.
TEST_CASE("a replica sends 24 KB of pins per second at most, whatever the number of receivers")
{
    for (const std::size_t receivers : {4U, 26U, 300U}) {
        for (const std::uint32_t pinsPerMessage : {1U, 20U}) {
            CAPTURE(receivers);
            CAPTURE(pinsPerMessage);
            OpeningPinForwarder forwarder;
            std::size_t bytes = 0;
            TimePoint now = Start;
            for (; now < Start + seconds(10); now += milliseconds(2)) {
                const std::vector<OpeningPin> pins = forwarder.admit(now, LocalDataCentre, receivers, pinsOfCount(pinsPerMessage));
                bytes += pins.empty() ? 0 : receivers * encodeMessage(NodeMessage(toMessage(LocalDataCentre, pins))).size();
            }
            CHECK(static_cast<double>(bytes) <= 11 * MaxPinBytesPerSecond);
            CHECK(forwarder.admit(now + seconds(1), LocalDataCentre, receivers, pinsOfCount(1)).size() == 1);
            CHECK(forwarder.admit(now + seconds(1), RemoteDataCentre, 0, pinsOfCount(20)).size() == MaxForwardedPins);
        }
    }
}
