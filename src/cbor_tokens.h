// SPDX-License-Identifier: MIT
// CBOR tokens: what the library's parser finds in a CBOR text, in order, without a tree of it.
//
// A tree costs an allocation for each array, and a balancer with a small part of a core reads a whole directory when it
// has just started.
#pragma once

#include "types.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Robinrail::detail {

enum class CborKind : std::uint8_t {
    Array,
    Unsigned,
    Negative,
    Boolean,
    Null,
    Text,
    Binary,
};

struct CborToken {
    CborKind kind = CborKind::Null;
    std::uint64_t number = 0; // Items of an array; a number's bits; position of a text or binary among those.
};

// Deepest nesting of arrays; messages have at most eight. The parser calls itself for each level.
inline constexpr int MaxCborDepth = 32;

// The tokens of a text, to be taken one after the other. Collects them as the parser's handler.
class CborTokens
{
public:
    using Json = nlohmann::json;

    // Empty if the text is malformed, has anything left over, or holds what no message has: maps, fractions, and arrays
    // that do not say their size. Never throws.
    static std::optional<CborTokens> parse(BytesView bytes)
    {
        CborTokens tokens;
        try {
            const bool sound = Json::sax_parse(bytes.begin(), bytes.end(), &tokens, Json::input_format_t::cbor);
            return sound ? std::optional(std::move(tokens)) : std::nullopt;
        } catch (const Json::exception &) {
            // The library throws for some sizes, such as an array header that claims more than memory could hold.
            return std::nullopt;
        }
    }

    // Takes the next token if it is of this kind; null otherwise.
    const CborToken *take(CborKind kind)
    {
        const bool there = m_next < m_tokens.size() && m_tokens[m_next].kind == kind;
        return there ? &m_tokens[m_next++] : nullptr;
    }

    std::string &text(const CborToken &token)
    {
        return m_texts[token.number];
    }

    Bytes &binary(const CborToken &token)
    {
        return m_binaries[token.number];
    }

    // Tokens that were not taken yet.
    std::size_t left() const
    {
        return m_tokens.size() - m_next;
    }

    // What the parser calls; the names are the library's.
    bool null() // NOLINT(readability-identifier-naming)
    {
        return add(CborKind::Null, 0);
    }

    bool boolean(bool flag)
    {
        return add(CborKind::Boolean, flag ? 1 : 0);
    }

    bool number_integer(std::int64_t number) // NOLINT(readability-identifier-naming)
    {
        return add(number < 0 ? CborKind::Negative : CborKind::Unsigned, static_cast<std::uint64_t>(number));
    }

    bool number_unsigned(std::uint64_t number) // NOLINT(readability-identifier-naming)
    {
        return add(CborKind::Unsigned, number);
    }

    static bool number_float(double /*number*/, const std::string & /*text*/) // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool string(std::string &text)
    {
        m_texts.push_back(std::move(text));
        return add(CborKind::Text, m_texts.size() - 1);
    }

    bool binary(Json::binary_t &bytes)
    {
        m_binaries.push_back(std::move(static_cast<Bytes &>(bytes)));
        return add(CborKind::Binary, m_binaries.size() - 1);
    }

    static bool start_object(std::size_t /*size*/) // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    static bool key(std::string & /*name*/)
    {
        return false;
    }

    static bool end_object() // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool start_array(std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return size != UnknownSize && ++m_depth <= MaxCborDepth && add(CborKind::Array, size);
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }

    static bool parse_error(std::size_t /*at*/, const std::string & /*token*/, const Json::exception & /*error*/) // NOLINT(readability-identifier-naming)
    {
        return false;
    }

private:
    static constexpr auto UnknownSize = static_cast<std::size_t>(-1);

    bool add(CborKind kind, std::uint64_t number)
    {
        m_tokens.push_back({kind, number});
        return true;
    }

    std::vector<CborToken> m_tokens;
    std::vector<std::string> m_texts;
    std::vector<Bytes> m_binaries;
    std::size_t m_next = 0;
    int m_depth = 0;
};

} // namespace Robinrail::detail
