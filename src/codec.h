// SPDX-License-Identifier: MIT
// Codec: encodes typed messages as CBOR and decodes them, for datagrams and links alike.
//
// A message is a plain struct with a member function fields() that returns std::tie of its members.
// On the wire it is a CBOR array: the index of its type in the variant, then the array of its members in order.
// Members are identified by position instead of by key, which keeps control traffic within a few KB/s. A type that has
// gained members declares the number of members in its first version (`OldestFields`), so that data written by an earlier
// release can still be decoded.
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

// Encoding: one overload for each kind of member; composites recurse through fields().
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

// Decoding: each overload consumes its tokens and returns whether they had the expected type and range.
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
    std::underlying_type_t<T> underlying{};
    const bool decoded = read(tokens, underlying);
    number = static_cast<T>(underlying);
    return decoded;
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
    const bool decoded = read(tokens, count);
    duration = Duration(count);
    return decoded;
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
    Bytes decoded;
    if (!read(tokens, decoded) || decoded.size() != N) {
        return false;
    }
    std::copy_n(decoded.begin(), N, bytes.begin());
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
    if (token == nullptr || token->number > tokens.remaining()) {
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

// Minimum number of members in the encoding of a type: `OldestFields` if the type declares it, otherwise all members.
template<typename T>
constexpr std::size_t requiredFields()
{
    if constexpr (requires { T::OldestFields; }) {
        return T::OldestFields;
    } else {
        return std::tuple_size_v<decltype(std::declval<T &>().fields())>;
    }
}

// Members added by later releases are the last ones; they keep their defaults if an earlier release wrote the bytes.
template<Composite T>
bool read(CborTokens &tokens, T &object)
{
    auto members = object.fields();
    const CborToken *array = tokens.take(CborKind::Array);
    if (array == nullptr || array->number < requiredFields<T>() || array->number > std::tuple_size_v<decltype(members)>) {
        return false;
    }
    std::uint64_t remaining = array->number;
    return std::apply(
        [&tokens, &remaining](auto &...member) {
            return ((remaining == 0 || (--remaining, read(tokens, member))) && ...);
        },
        members);
}

template<typename Variant, std::size_t Index = 0>
bool readAlternative(std::size_t index, CborTokens &tokens, Variant &message)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            return read(tokens, message.template emplace<Index>());
        }
        return readAlternative<Variant, Index + 1>(index, tokens, message);
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

// Decodes one object. Returns false, with the object in an unspecified state, under the conditions in which decodeMessage()
// returns no value.
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

// Returns the variant index of an encoded message without decoding it; no value if the bytes do not begin like a message.
// A message begins with the head of an array of two items, then the index, which CBOR encodes in one byte because no variant
// has more than 24 alternatives.
inline std::optional<std::size_t> messageTypeIndex(BytesView bytes)
{
    constexpr std::uint8_t ArrayOfTwo = 0x82;
    constexpr std::uint8_t InlineArgumentLimit = 24;
    const bool valid = bytes.size() >= 2 && bytes[0] == ArrayOfTwo && bytes[1] < InlineArgumentLimit;
    return valid ? std::optional<std::size_t>(bytes[1]) : std::nullopt;
}

// Decodes one message of a variant; returns no value if the bytes are malformed, of an unknown type, contain a
// number out of range, or have trailing bytes. Never throws and never reads past the view.
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
