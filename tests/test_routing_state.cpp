// SPDX-License-Identifier: MIT
// Routing state: the ordering of versions, drain orders of data centres, and their log entries and snapshots.
#include "routing_state.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace Robinrail;
using std::chrono::seconds;

namespace {

RoutingTable tableOf(std::uint64_t version)
{
    RoutingTable table;
    table.version = version;
    table.services = {"quotes"};
    table.routes = {{{0xc6120001, 443}, {{0, 1}}}};
    return table;
}

} // namespace

TEST_CASE("the highest version is applied under one ordering, and the expected base version under the other")
{
    CHECK(HighestVersion::evaluate(7, 0, 9) == VersionVerdict::Apply);
    CHECK(HighestVersion::evaluate(7, 7, 7) == VersionVerdict::Superseded);
    CHECK(HighestVersion::evaluate(7, 7, 3) == VersionVerdict::Superseded);
    CHECK(CompareAndSet::evaluate(7, 7, 8) == VersionVerdict::Apply);
    CHECK(CompareAndSet::evaluate(7, 6, 8) == VersionVerdict::Conflict);

    RoutingState state;
    RoutingDocument document{"second", tableOf(9)};
    CHECK(state.applyCommand(RoutingState::encodeChange(document)).verdict == VersionVerdict::Apply);
    document = {"older", tableOf(4)};
    CHECK(state.applyCommand(RoutingState::encodeChange(document)).currentVersion == 9);
    CHECK(state.document().text == "second");
    RoutingState restored;
    CHECK(restored.restore(state.serialize()));
    CHECK(restored.document().table == state.document().table);
}

TEST_CASE("data centre drain orders are applied in log order and survive a snapshot")
{
    RoutingState state;
    const DataCentreDrainOrder drain{"lalit", true};
    const DataCentreDrainOrder takeBack{"lalit", false};
    state.applyCommand(RoutingState::encodeChange(drain));
    state.applyCommand(RoutingState::encodeChange(DataCentreDrainOrder{"bhakta", true}));
    CHECK(state.drains().drained() == std::vector<std::string>{"bhakta", "lalit"});
    CHECK(state.drains().revision() == 2);
    // Repeating the order changes nothing, and neither does a document in between.
    CHECK(state.applyCommand(RoutingState::encodeChange(drain)).verdict == VersionVerdict::Superseded);
    state.applyCommand(RoutingState::encodeChange(RoutingDocument{"text", tableOf(9)}));
    CHECK(state.drains().revision() == 2);
    RoutingState restored;
    CHECK(restored.restore(state.serialize()));
    CHECK(restored.drains() == state.drains());
    CHECK(restored.document().table == state.document().table);
    state.applyCommand(RoutingState::encodeChange(takeBack));
    CHECK(state.drains().drained() == std::vector<std::string>{"bhakta"});
    CHECK(state.drains().revision() == 3);
    CHECK(state.applyCommand(RoutingState::encodeChange(takeBack)).verdict == VersionVerdict::Superseded);
}

TEST_CASE("snapshots and log entries of the release without drains are read")
{
    // A document "t" of version 9, idle time-out 15 s, one service "a" and its route 198.18.0.1:443, as that release wrote
    // it both in snapshots and in the log.
    constexpr std::array<std::uint8_t, 30> Earlier{0x82, 0x00, 0x82, 0x61, 0x74, 0x84, 0x09, 0x1a, 0x00, 0xe4, 0xe1, 0xc0, 0x81, 0x61, 0x61,
                                                   0x81, 0x82, 0x82, 0x1a, 0xc6, 0x12, 0x00, 0x01, 0x19, 0x01, 0xbb, 0x81, 0x82, 0x00, 0x01};
    const BytesView bytes(Earlier);
    RoutingState restored;
    REQUIRE(restored.restore(bytes));
    RoutingState applied;
    CHECK(applied.applyCommand(bytes).verdict == VersionVerdict::Apply);
    for (const RoutingState *state : {&restored, &applied}) {
        CHECK(state->document().text == "t");
        CHECK(state->document().table.version == 9);
        CHECK(state->document().table.idleTimeout == seconds(15));
        REQUIRE(state->document().table.routes.size() == 1);
        CHECK(state->document().table.routes[0].address == Endpoint{0xc6120001, 443});
        CHECK(state->drains().revision() == 0);
    }
}
