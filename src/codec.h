// SPDX-License-Identifier: MIT
// Codec: turns typed messages into CBOR and back, for packets and for links alike.
//
// A message is a plain struct with a member function fields() that returns std::tie of its members.
// On the wire it is a CBOR array: the index of its type in the variant, then the members in order.
// Positions instead of keys keep control traffic within a few KB/s. A type that gets further members names how many it
// had at first (`OldestFields`), so that what an earlier release wrote is still read.
#pragma once

#include "cbor_tokens.h"
#include "cbor_writer.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace Robinrail {

namespace detail {

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
inline void write(CborWriter &writer, bool flag)
{
    writer.boolean(flag);
}

template<Number T>
void write(CborWriter &writer, T number)
{
    if constexpr (std::is_signed_v<T>) {
        writer.number(static_cast<std::int64_t>(number));
    } else {
        writer.number(static_cast<std::uint64_t>(number));
    }
}

template<Enumeration T>
void write(CborWriter &writer, T number)
{
    write(writer, value(number));
}

inline void write(CborWriter &writer, const std::string &text)
{
    writer.text(text);
}

inline void write(CborWriter &writer, Duration duration)
{
    write(writer, duration.count());
}

inline void write(CborWriter &writer, const Bytes &bytes)
{
    writer.binary(bytes);
}

template<std::size_t N>
void write(CborWriter &writer, const std::array<std::uint8_t, N> &bytes)
{
    writer.binary(bytes);
}

inline void write(CborWriter &writer, const Endpoint &endpoint)
{
    writer.array(2);
    write(writer, endpoint.address);
    write(writer, endpoint.port);
}

inline void write(CborWriter &writer, const BalancerKey &key)
{
    writer.array(2);
    write(writer, value(key.id));
    write(writer, value(key.incarnation));
}

template<Composite T>
void write(CborWriter &writer, const T &object);

template<typename T>
void write(CborWriter &writer, const std::vector<T> &list)
{
    writer.array(list.size());
    for (const T &entry : list) {
        write(writer, entry);
    }
}

template<typename T>
void write(CborWriter &writer, const std::optional<T> &maybe)
{
    if (maybe) {
        write(writer, *maybe);
    } else {
        writer.null();
    }
}

template<Composite T>
void write(CborWriter &writer, const T &object)
{
    std::apply(
        [&writer](const auto &...member) {
            writer.array(sizeof...(member));
            (write(writer, member), ...);
        },
        const_cast<T &>(object).fields());
}

// Reading. Each overload takes its tokens, checks type and range, and answers whether they were what it wanted.
inline bool read(CborTokens &tokens, bool &flag)
{
    const CborToken *token = tokens.take(CborKind::Boolean);
    flag = token != nullptr && token->number != 0;
    return token != nullptr;
}

template<Number T>
bool read(CborTokens &tokens, T &number)
{
    if (const CborToken *token = tokens.take(CborKind::Unsigned)) {
        number = static_cast<T>(token->number);
        return token->number <= static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    }
    if constexpr (std::is_signed_v<T>) {
        const CborToken *token = tokens.take(CborKind::Negative);
        const bool inRange = token != nullptr && static_cast<std::int64_t>(token->number) >= std::numeric_limits<T>::min();
        number = inRange ? static_cast<T>(token->number) : T{};
        return inRange;
    }
    return false;
}

template<Enumeration T>
bool read(CborTokens &tokens, T &number)
{
    std::underlying_type_t<T> plain{};
    const bool taken = read(tokens, plain);
    number = static_cast<T>(plain);
    return taken;
}

inline bool read(CborTokens &tokens, std::string &text)
{
    const CborToken *token = tokens.take(CborKind::Text);
    if (token != nullptr) {
        text = std::move(tokens.text(*token));
    }
    return token != nullptr;
}

inline bool read(CborTokens &tokens, Duration &duration)
{
    std::int64_t count = 0;
    const bool taken = read(tokens, count);
    duration = Duration(count);
    return taken;
}

inline bool read(CborTokens &tokens, Bytes &bytes)
{
    const CborToken *token = tokens.take(CborKind::Binary);
    if (token != nullptr) {
        bytes = std::move(tokens.binary(*token));
    }
    return token != nullptr;
}

template<std::size_t N>
bool read(CborTokens &tokens, std::array<std::uint8_t, N> &bytes)
{
    Bytes taken;
    if (!read(tokens, taken) || taken.size() != N) {
        return false;
    }
    std::copy_n(taken.begin(), N, bytes.begin());
    return true;
}

inline bool readArray(CborTokens &tokens, std::size_t size)
{
    const CborToken *token = tokens.take(CborKind::Array);
    return token != nullptr && token->number == size;
}

inline bool read(CborTokens &tokens, Endpoint &endpoint)
{
    return readArray(tokens, 2) && read(tokens, endpoint.address) && read(tokens, endpoint.port);
}

inline bool read(CborTokens &tokens, BalancerKey &key)
{
    return readArray(tokens, 2) && read(tokens, key.id) && read(tokens, key.incarnation);
}

template<Composite T>
bool read(CborTokens &tokens, T &object);

template<typename T>
bool read(CborTokens &tokens, std::vector<T> &list)
{
    const CborToken *token = tokens.take(CborKind::Array);
    if (token == nullptr || token->number > tokens.left()) {
        return false;
    }
    list.resize(token->number);
    return std::all_of(list.begin(), list.end(), [&tokens](T &entry) {
        return read(tokens, entry);
    });
}

template<typename T>
bool read(CborTokens &tokens, std::optional<T> &maybe)
{
    if (tokens.take(CborKind::Null) != nullptr) {
        maybe.reset();
        return true;
    }
    return read(tokens, maybe.emplace());
}

// How many of its members a type had at first; all of them, unless it tells.
template<typename T>
constexpr std::size_t oldestFields()
{
    if constexpr (requires { T::OldestFields; }) {
        return T::OldestFields;
    } else {
        return std::tuple_size_v<decltype(std::declval<T &>().fields())>;
    }
}

// Members that a type got later are the last ones; where the bytes are of an earlier release they keep their defaults.
template<Composite T>
bool read(CborTokens &tokens, T &object)
{
    auto members = object.fields();
    const CborToken *array = tokens.take(CborKind::Array);
    if (array == nullptr || array->number < oldestFields<T>() || array->number > std::tuple_size_v<decltype(members)>) {
        return false;
    }
    std::uint64_t left = array->number;
    return std::apply(
        [&tokens, &left](auto &...member) {
            return ((left == 0 || (--left, read(tokens, member))) && ...);
        },
        members);
}

template<typename Variant, std::size_t Index = 0>
bool readAlternative(std::size_t wanted, CborTokens &tokens, Variant &message)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted == Index) {
            return read(tokens, message.template emplace<Index>());
        }
        return readAlternative<Variant, Index + 1>(wanted, tokens, message);
    }
    return false;
}

} // namespace detail

// Encodes one object with fields().
template<typename T>
Bytes encodeObject(const T &object)
{
    detail::CborWriter writer;
    detail::write(writer, object);
    return writer.take();
}

// Decodes one object; false, with the object in any state, where decodeMessage() gives nothing.
template<typename T>
bool decodeObject(BytesView bytes, T &object)
{
    std::optional<detail::CborTokens> tokens = detail::CborTokens::parse(bytes);
    return tokens && detail::read(*tokens, object);
}

// Encodes one message of a variant.
template<typename Variant>
Bytes encodeMessage(const Variant &message)
{
    detail::CborWriter writer;
    writer.array(2);
    writer.number(std::uint64_t{message.index()});
    std::visit(
        [&writer](const auto &typed) {
            detail::write(writer, typed);
        },
        message);
    return writer.take();
}

// Which alternative of a variant an encoded message holds; empty if it does not begin like one. Variants have fewer than
// 24 alternatives, whose numbers are one byte of CBOR, behind the head of an array of two.
inline std::optional<std::size_t> messageTypeIndex(BytesView bytes)
{
    constexpr std::uint8_t ArrayOfTwo = 0x82;
    constexpr std::uint8_t SmallNumbers = 24;
    const bool sound = bytes.size() >= 2 && bytes[0] == ArrayOfTwo && bytes[1] < SmallNumbers;
    return sound ? std::optional<std::size_t>(bytes[1]) : std::nullopt;
}

// Decodes one message of a variant; empty if the bytes are malformed, of an unknown type, carry a
// number out of range, or have anything left over. Never throws and never reads past the view.
template<typename Variant>
std::optional<Variant> decodeMessage(BytesView bytes)
{
    std::optional<detail::CborTokens> tokens = detail::CborTokens::parse(bytes);
    std::size_t index = 0;
    if (!tokens || !detail::readArray(*tokens, 2) || !detail::read(*tokens, index)) {
        return std::nullopt;
    }
    Variant message;
    if (!detail::readAlternative(index, *tokens, message)) {
        return std::nullopt;
    }
    return message;
}

} // namespace Robinrail
