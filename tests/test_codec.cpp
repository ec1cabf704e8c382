// SPDX-License-Identifier: MIT
// Codec: every message round-trips, and arbitrary bytes are decoded or rejected without undefined behaviour.
#include "codec.h"
#include "link_message.h"
#include "message.h"
#include "node_message.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

using namespace Robinrail;

namespace {

using Json = nlohmann::json;

// The same CBOR text, decoded and re-encoded by nlohmann::json, which uses the shortest form.
Bytes reencodeWithLibrary(const Bytes &bytes)
{
    return Json::to_cbor(Json::from_cbor(bytes));
}

struct NumberList {
    std::vector<std::uint32_t> numbers;

    auto fields()
    {
        return std::tie(numbers);
    }
};

struct Flags {
    bool one = false;
    bool other = false;
    std::optional<std::uint32_t> absent;
    std::optional<std::uint32_t> present;

    auto fields()
    {
        return std::tie(one, other, absent, present);
    }
};

template<typename Variant, std::size_t Index = 0>
void checkRoundTrips()
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        const Variant message{std::in_place_index<Index>};
        const Bytes bytes = encodeMessage(message);
        const std::optional<Variant> decoded = decodeMessage<Variant>(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == Index);
        CHECK(encodeMessage(*decoded) == bytes);
        CHECK(reencodeWithLibrary(bytes) == bytes);
        checkRoundTrips<Variant, Index + 1>();
    }
}

} // namespace

TEST_CASE("every message of the data path, the links and Raft round-trips")
{
    checkRoundTrips<Message>();
    checkRoundTrips<LinkMessage>();
    checkRoundTrips<RaftMessage>();
    checkRoundTrips<ControlChange>();
    checkRoundTrips<NodeMessage>();
}

TEST_CASE("numbers, texts and arrays of any size are encoded exactly as nlohmann::json encodes them")
{
    const auto encodedBy = [](auto write) {
        detail::CborWriter writer;
        write(writer);
        return writer.take();
    };
    for (const std::uint64_t number : {0ULL, 1ULL, 23ULL, 24ULL, 255ULL, 256ULL, 65'535ULL, 65'536ULL, 0xffff'ffffULL, 0x1'0000'0000ULL, ~0ULL}) {
        CHECK(encodedBy([&](auto &writer) {
                  writer.number(number);
              })
              == Json::to_cbor(Json(number)));
    }
    for (const std::int64_t number : {0LL, -1LL, -24LL, -25LL, -256LL, -257LL, -65'536LL, -65'537LL, -0x1'0000'0000LL, -0x1'0000'0001LL, 1LL << 40}) {
        CHECK(encodedBy([&](auto &writer) {
                  writer.number(number);
              })
              == Json::to_cbor(Json(number)));
    }
    CHECK(encodedBy([](auto &writer) {
              writer.number(std::numeric_limits<std::int64_t>::min());
          })
          == Json::to_cbor(Json(std::numeric_limits<std::int64_t>::min())));
    for (const std::size_t size : {0, 1, 23, 24, 255, 256, 65'535, 65'536}) {
        const std::string text(size, 'x');
        const Bytes binary(size, 7);
        CHECK(encodedBy([&](auto &writer) {
                  writer.text(text);
              })
              == Json::to_cbor(Json(text)));
        CHECK(encodedBy([&](auto &writer) {
                  writer.binary(binary);
              })
              == Json::to_cbor(Json::binary(binary)));
        CHECK(encodeObject(NumberList{std::vector<std::uint32_t>(size, 9)}) == Json::to_cbor(Json::array({std::vector<std::uint32_t>(size, 9)})));
    }
}

TEST_CASE("booleans and absent members are encoded exactly as nlohmann::json encodes them")
{
    CHECK(encodeObject(Flags{true, false, std::nullopt, 5}) == Json::to_cbor(Json::array({true, false, nullptr, 5})));
}

TEST_CASE("the contents of a message round-trip")
{
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{9}, Incarnation{1'700'000'000'000}};
    heartbeat.successor = BalancerKey{BalancerId{2}, Incarnation{5}};
    heartbeat.renewals.push_back({TargetId{4}, 6, 77, 1500});
    const std::optional<Message> decoded = decodeMessage<Message>(encodeMessage(Message(heartbeat)));
    REQUIRE(decoded);
    const auto &same = std::get<Heartbeat>(*decoded);
    CHECK(same.sender == heartbeat.sender);
    CHECK(same.successor == heartbeat.successor);
    CHECK(same.renewals[0].ageMilliseconds == 1500);
}

TEST_CASE("decoding rejects numbers out of range, wrong types, and missing and extra members")
{
    const auto decodes = [](const Json &json) {
        return decodeMessage<Message>(Json::to_cbor(json)).has_value();
    };
    CHECK(decodes(Json::array({0, Json::array({1})})));
    CHECK_FALSE(decodes(Json::array({0, Json::array({-1})})));
    CHECK_FALSE(decodes(Json::array({0, Json::array({"1"})})));
    CHECK_FALSE(decodes(Json::array({0, Json::array()})));
    CHECK_FALSE(decodes(Json::array({0, Json::array({1, 2})})));
    CHECK_FALSE(decodes(Json::array({999, Json::array({1})})));
    CHECK_FALSE(decodes(Json::array({0, Json::array({1}), 3})));
}

TEST_CASE("decoding truncated, corrupted and random bytes is safe")
{
    pcg64 random(7);
    const Bytes valid = encodeMessage(Message(Announcement{}));
    for (std::size_t size = 0; size < valid.size(); ++size) {
        CHECK_FALSE(decodeMessage<Message>(BytesView(valid).first(size)));
    }
    for (int i = 0; i < 100'000; ++i) {
        Bytes corrupted = valid;
        corrupted[random() % corrupted.size()] = static_cast<std::uint8_t>(random());
        decodeMessage<Message>(corrupted);
        Bytes randomBytes(random() % 64);
        for (std::uint8_t &byte : randomBytes) {
            byte = static_cast<std::uint8_t>(random());
        }
        decodeMessage<Message>(randomBytes);
    }
    // nlohmann::json throws for an array header that declares more items than fit into memory.
    CHECK_FALSE(decodeMessage<Message>(Bytes{0x9b, 0x34, 0x5f, 1, 2, 3, 4, 5, 6}));
    // The deepest nesting that fits into a datagram.
    decodeMessage<Message>(Bytes(MaxDatagramSize, 0x81));
}
