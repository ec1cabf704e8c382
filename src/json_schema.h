// SPDX-License-Identifier: MIT
// JSON schemas: strict parsing of JSON, and validation of documents against a schema.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Robinrail {

// An error in a JSON document: its JSON Pointer (RFC 6901), the value found, and what was expected.
struct JsonError {
    std::string pointer;
    std::string found;
    std::string expected;

    std::string text() const;
};

// Maximum number of lists and objects around a value, as for CBOR (MaxCborDepth). Code behind the parser may recurse once for each
// level, as nlohmann::json does in dump(), copies and comparisons. No schema describes more than five levels.
inline constexpr std::size_t MaxJsonDepth = 32;

// Maximum number of values in a request or a file, so that it takes less than 64 MB in memory. In a routing document as large as an
// HTTP body may be, 2 MB, a value with its key takes 8 bytes or more, so that it has fewer.
inline constexpr std::size_t MaxJsonValues = 262'144;

// Parses JSON that comes from outside this process. Duplicate keys, trailing content, more than MaxJsonDepth levels and more than
// `maxValues` values are errors.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, JsonError &error, std::size_t maxValues = MaxJsonValues);

// The same for callers that do not report the error.
std::optional<nlohmann::json> parseStrictJson(std::string_view text);

// The same for a response to a client, or a report: its number of values grows with the deployment.
std::optional<nlohmann::json> parseJsonResponse(std::string_view text);

namespace detail {
struct SchemaNode;
} // namespace detail

// A JSON Schema (draft 7) of the common keywords, parsed once and used for any number of documents.
class JsonSchema
{
public:
    // `text` must be a valid schema; throws std::invalid_argument if it has a keyword that is not supported.
    explicit JsonSchema(std::string_view text);
    ~JsonSchema();

    JsonSchema(const JsonSchema &) = delete;
    JsonSchema &operator=(const JsonSchema &) = delete;

    // Whether a document is valid. If not, `error` is set to the first error, at which the validation ends.
    bool matches(const nlohmann::json &document, JsonError &error) const;

private:
    std::unique_ptr<detail::SchemaNode> m_root;
};

} // namespace Robinrail
