// SPDX-License-Identifier: MIT
// Codec: turns typed messages into CBOR and back, for packets and for links alike.
//
// A message is a plain struct with a member function fields() that returns std::tie of its members.
// On the wire it is a CBOR array: the index of its type in the variant, then the members in order.
// Positions instead of keys keep control traffic within a few KB/s.
#pragma once

#include "types.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace Robinrail {

namespace detail {

using Json = nlohmann::json;

template<typename T>
concept Composite = requires(T &object)
{
    object.fields();
};

template<typename T>
concept Number = std::is_integral_v<T> && !std::is_same_v<T, bool>;

template<typename T>
concept Enumeration = std::is_enum_v<T>;

// Writing. One overload for each shape of member; composites recurse through fields().
inline Json toJson(bool flag)
{
    return flag;
}

template<Number T>
Json toJson(T number)
{
    return number;
}

template<Enumeration T>
Json toJson(T number)
{
    return value(number);
}

inline Json toJson(const std::string &text)
{
    return text;
}

inline Json toJson(Duration duration)
{
    return duration.count();
}

inline Json toJson(const Bytes &bytes)
{
    return Json::binary(bytes);
}

template<std::size_t N>
Json toJson(const std::array<std::uint8_t, N> &bytes)
{
    return Json::binary(Bytes(bytes.begin(), bytes.end()));
}

inline Json toJson(const Endpoint &endpoint)
{
    return Json::array({endpoint.address, endpoint.port});
}

inline Json toJson(const BalancerKey &key)
{
    return Json::array({value(key.id), value(key.incarnation)});
}

template<Composite T>
Json toJson(const T &object);

template<typename T>
Json toJson(const std::vector<T> &list)
{
    Json array = Json::array();
    for (const T &entry : list) {
        array.push_back(toJson(entry));
    }
    return array;
}

template<typename T>
Json toJson(const std::optional<T> &maybe)
{
    return maybe ? toJson(*maybe) : Json(nullptr);
}

template<Composite T>
Json toJson(const T &object)
{
    Json array = Json::array();
    std::apply(
        [&array](const auto &...member) {
            (array.push_back(toJson(member)), ...);
        },
        const_cast<T &>(object).fields());
    return array;
}

// Reading. Each overload checks type and range and answers whether it took the value.
inline bool fromJson(const Json &json, bool &flag)
{
    if (!json.is_boolean()) {
        return false;
    }
    flag = json.get<bool>();
    return true;
}

template<Number T>
bool fromJson(const Json &json, T &number)
{
    if (json.is_number_unsigned()) {
        const auto wide = json.get<std::uint64_t>();
        number = static_cast<T>(wide);
        return wide <= static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    }
    if constexpr (std::is_signed_v<T>) {
        const bool inRange = json.is_number_integer() && json.get<std::int64_t>() >= std::numeric_limits<T>::min();
        number = inRange ? static_cast<T>(json.get<std::int64_t>()) : T{};
        return inRange;
    }
    return false;
}

template<Enumeration T>
bool fromJson(const Json &json, T &number)
{
    std::underlying_type_t<T> plain{};
    const bool taken = fromJson(json, plain);
    number = static_cast<T>(plain);
    return taken;
}

inline bool fromJson(const Json &json, std::string &text)
{
    if (!json.is_string()) {
        return false;
    }
    text = json.get<std::string>();
    return true;
}

inline bool fromJson(const Json &json, Duration &duration)
{
    std::int64_t count = 0;
    const bool taken = fromJson(json, count);
    duration = Duration(count);
    return taken;
}

inline bool fromJson(const Json &json, Bytes &bytes)
{
    if (!json.is_binary()) {
        return false;
    }
    bytes = json.get_binary();
    return true;
}

template<std::size_t N>
bool fromJson(const Json &json, std::array<std::uint8_t, N> &bytes)
{
    if (!json.is_binary() || json.get_binary().size() != N) {
        return false;
    }
    std::copy_n(json.get_binary().begin(), N, bytes.begin());
    return true;
}

inline bool fromJson(const Json &json, Endpoint &endpoint)
{
    return json.is_array() && json.size() == 2 && fromJson(json[0], endpoint.address) && fromJson(json[1], endpoint.port);
}

inline bool fromJson(const Json &json, BalancerKey &key)
{
    return json.is_array() && json.size() == 2 && fromJson(json[0], key.id) && fromJson(json[1], key.incarnation);
}

template<Composite T>
bool fromJson(const Json &json, T &object);

template<typename T>
bool fromJson(const Json &json, std::vector<T> &list)
{
    if (!json.is_array()) {
        return false;
    }
    list.resize(json.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (!fromJson(json[i], list[i])) {
            return false;
        }
    }
    return true;
}

template<typename T>
bool fromJson(const Json &json, std::optional<T> &maybe)
{
    if (json.is_null()) {
        maybe.reset();
        return true;
    }
    return fromJson(json, maybe.emplace());
}

template<Composite T>
bool fromJson(const Json &json, T &object)
{
    auto members = object.fields();
    if (!json.is_array() || json.size() != std::tuple_size_v<decltype(members)>) {
        return false;
    }
    std::size_t index = 0;
    return std::apply(
        [&](auto &...member) {
            return (fromJson(json[index++], member) && ...);
        },
        members);
}

template<typename Variant, std::size_t Index = 0>
bool decodeAlternative(std::size_t wanted, const Json &json, Variant &message)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted == Index) {
            return fromJson(json, message.template emplace<Index>());
        }
        return decodeAlternative<Variant, Index + 1>(wanted, json, message);
    }
    return false;
}

} // namespace detail

// Encodes one message of a variant.
template<typename Variant>
Bytes encodeMessage(const Variant &message)
{
    const auto body = std::visit(
        [](const auto &typed) {
            return detail::toJson(typed);
        },
        message);
    return detail::Json::to_cbor(detail::Json::array({message.index(), body}));
}

namespace detail {

// Parses CBOR. The library throws for some sizes even when told not to, such as an array header that
// claims more elements than memory could hold; that is malformed input like any other.
inline Json parseCbor(BytesView bytes)
{
    try {
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const Json::exception &) {
        return Json(Json::value_t::discarded);
    }
}

} // namespace detail

// Decodes one message of a variant; empty if the bytes are malformed, of an unknown type, carry a
// number out of range, or have anything left over. Never throws and never reads past the view.
template<typename Variant>
std::optional<Variant> decodeMessage(BytesView bytes)
{
    const detail::Json json = detail::parseCbor(bytes);
    std::size_t index = 0;
    if (!json.is_array() || json.size() != 2 || !detail::fromJson(json[0], index)) {
        return std::nullopt;
    }
    Variant message;
    if (!detail::decodeAlternative(index, json[1], message)) {
        return std::nullopt;
    }
    return message;
}

} // namespace Robinrail
