// SPDX-License-Identifier: MIT
// CBOR tokens: a flat list of the data items in a CBOR text, in document order, built by the SAX parser of nlohmann::json.
//
// A DOM tree would cost one allocation for each array, which is too slow for a balancer that has a fraction of a core and
// decodes the whole target directory right after its start.
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
    std::uint64_t number = 0; // Array: number of items. Number: its bits. Text or binary: index into the list of such values.
};

// Maximum nesting depth of arrays; messages nest at most eight levels. Bounds the recursion of the parser.
inline constexpr int MaxCborDepth = 32;

// The tokens of a CBOR text, consumed in order. The class is also the SAX handler that collects them.
class CborTokens
{
public:
    using Json = nlohmann::json;

    // Returns no value if the text is malformed, has trailing bytes, or holds items that no message uses: maps, floating-point
    // numbers and arrays of indefinite length. Never throws.
    static std::optional<CborTokens> parse(BytesView bytes)
    {
        CborTokens tokens;
        try {
            const bool valid = Json::sax_parse(bytes.begin(), bytes.end(), &tokens, Json::input_format_t::cbor);
            return valid ? std::optional(std::move(tokens)) : std::nullopt;
        } catch (const Json::exception &) {
            // The library throws for some sizes, such as an array header that declares more items than fit into memory.
            return std::nullopt;
        }
    }

    // Consumes the next token if it is of this kind; otherwise returns null and consumes nothing.
    const CborToken *take(CborKind kind)
    {
        const bool matches = m_next < m_tokens.size() && m_tokens[m_next].kind == kind;
        return matches ? &m_tokens[m_next++] : nullptr;
    }

    std::string &text(const CborToken &token)
    {
        return m_texts[token.number];
    }

    Bytes &binary(const CborToken &token)
    {
        return m_binaries[token.number];
    }

    // Number of tokens that have not been consumed yet.
    std::size_t remaining() const
    {
        return m_tokens.size() - m_next;
    }

    // SAX callbacks; the names are given by nlohmann::json.
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
