// SPDX-License-Identifier: MIT
// JSON schemas: implementation.
//
// The validator knows the keywords that the schemas of this project use. It stops at the first error, so that an invalid document costs
// no more than a valid one: a list of all errors takes hundreds of times the memory of the document.
#include "json_schema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <stdexcept>
#include <utility>
#include <vector>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

bool continuesCharacter(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U; // UTF-8.
}

// A text for an error message, cut between two characters.
std::string cutText(std::string_view text)
{
    constexpr std::size_t MaxLength = 120;
    if (text.size() <= MaxLength) {
        return std::string(text);
    }
    std::size_t length = MaxLength;
    while (length > 0 && continuesCharacter(text[length])) {
        --length;
    }
    return std::string(text.substr(0, length)) + "...";
}

std::string inQuotes(std::string_view text)
{
    return '"' + cutText(text) + '"';
}

// The text of a value for an error message. Its cost does not depend on the size of the value.
std::string describeValue(const Json &found)
{
    switch (found.type()) {
    case Json::value_t::array:
        return "a list of " + std::to_string(found.size()) + " values";
    case Json::value_t::object:
        return "an object of " + std::to_string(found.size()) + " members";
    case Json::value_t::string:
        return inQuotes(found.get_ref<const std::string &>());
    default:
        return found.dump();
    }
}

std::size_t countCharacters(std::string_view text)
{
    return static_cast<std::size_t>(std::ranges::count_if(text, [](char byte) {
        return !continuesCharacter(byte);
    }));
}

bool hasDuplicates(const Json &list)
{
    std::vector<const Json *> sorted;
    for (const Json &item : list) {
        sorted.push_back(&item);
    }
    const auto content = [](const Json *item) -> const Json & {
        return *item;
    };
    std::ranges::sort(sorted, {}, content);
    return std::ranges::adjacent_find(sorted, {}, content) != sorted.end();
}

// SAX handler that builds a document. Rejects duplicate keys, which the default parser accepts, and documents beyond
// the limits at the first value that exceeds them.
class StrictBuilder
{
public:
    explicit StrictBuilder(std::size_t maxValues)
        : m_maxValues(maxValues)
    {
    }

    bool null()
    {
        return add(nullptr) != nullptr;
    }

    bool boolean(bool content)
    {
        return add(content) != nullptr;
    }

    bool number_integer(Json::number_integer_t content) // NOLINT(readability-identifier-naming): named by the library, as below
    {
        return add(content) != nullptr;
    }

    bool number_unsigned(Json::number_unsigned_t content) // NOLINT(readability-identifier-naming)
    {
        return add(content) != nullptr;
    }

    bool number_float(Json::number_float_t content, const std::string & /*text*/) // NOLINT(readability-identifier-naming)
    {
        return add(content) != nullptr;
    }

    bool string(std::string &content)
    {
        return add(std::move(content)) != nullptr;
    }

    bool binary(Json::binary_t & /*content*/)
    {
        return false; // Not part of JSON text.
    }

    bool start_object(std::size_t /*size*/) // NOLINT(readability-identifier-naming)
    {
        return open(Json::object());
    }

    bool end_object() // NOLINT(readability-identifier-naming)
    {
        m_open.pop_back();
        return true;
    }

    bool start_array(std::size_t /*size*/) // NOLINT(readability-identifier-naming)
    {
        return open(Json::array());
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        m_open.pop_back();
        return true;
    }

    bool key(std::string &name)
    {
        m_key = std::move(name);
        return true;
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const Json::exception & /*error*/) // NOLINT(readability-identifier-naming)
    {
        m_error = {"", "no JSON at byte " + std::to_string(position), "one JSON document"};
        return false;
    }

    Json takeDocument()
    {
        return std::move(m_document);
    }

    const JsonError &error() const
    {
        return m_error;
    }

private:
    // Adds a value to the innermost open list or object; null, with m_error set, if it is not allowed there.
    Json *add(Json content)
    {
        if (++m_values > m_maxValues) {
            m_error = {"", "more than " + std::to_string(m_maxValues) + " values", "a smaller document"};
            return nullptr;
        }
        if (m_open.empty()) {
            m_document = std::move(content);
            return &m_document;
        }
        if (m_open.back()->is_array()) {
            return &m_open.back()->emplace_back(std::move(content));
        }
        const auto [member, added] = m_open.back()->emplace(m_key, std::move(content));
        if (!added) {
            m_error = {"", "the key " + inQuotes(m_key) + " twice in one object", "each key once"};
            return nullptr;
        }
        return &*member;
    }

    bool open(Json container)
    {
        if (m_open.size() >= MaxJsonDepth) {
            m_error = {"", "more than " + std::to_string(MaxJsonDepth) + " levels of lists and objects", "a flatter document"};
            return false;
        }
        m_open.push_back(add(std::move(container)));
        return m_open.back() != nullptr;
    }

    Json m_document;
    std::vector<Json *> m_open; // From the document to the innermost list or object that is not complete.
    std::string m_key;
    std::size_t m_maxValues;
    std::size_t m_values = 0;
    JsonError m_error;
};

// The key of a value in the object or list that contains it.
struct Place {
    const Place *parent = nullptr; // Of that object or list; null if it is the document.
    std::string_view member; // Of an object.
    std::size_t index = 0; // Of a list.
    bool inList = false;
};

// The JSON Pointer of a place; null is that of the document.
std::string pointerOf(const Place *place)
{
    Json::json_pointer pointer;
    std::vector<const Place *> path;
    for (; place != nullptr; place = place->parent) {
        path.push_back(place);
    }
    for (auto at = path.rbegin(); at != path.rend(); ++at) {
        pointer.push_back((*at)->inList ? std::to_string((*at)->index) : std::string((*at)->member));
    }
    return pointer.to_string();
}

} // namespace

// One level of a schema: what a value must satisfy, and the schemas of the values in it.
struct detail::SchemaNode {
    std::string type; // Empty: any.
    std::vector<Json> allowed; // Empty: any.
    std::optional<double> minimum;
    std::optional<double> maximum;
    std::size_t minLength = 0; // Of a string, in characters.
    std::size_t maxLength = SIZE_MAX;
    std::size_t minItems = 0;
    std::size_t maxItems = SIZE_MAX;
    bool uniqueItems = false;
    bool open = true; // Allows other members than those listed.
    std::vector<std::string> required;
    std::map<std::string, SchemaNode, std::less<>> members;
    std::unique_ptr<SchemaNode> items;
};

namespace {

using detail::SchemaNode;

using KeywordReader = std::function<void(SchemaNode &, const Json &)>;

template<typename T>
KeywordReader into(T SchemaNode::*member)
{
    return [member](SchemaNode &node, const Json &content) {
        node.*member = content.get<T>();
    };
}

template<typename T>
KeywordReader into(std::optional<T> SchemaNode::*member)
{
    return [member](SchemaNode &node, const Json &content) {
        node.*member = content.get<T>();
    };
}

SchemaNode compileSchema(const Json &schema);

void readItems(SchemaNode &node, const Json &content)
{
    node.items = std::make_unique<SchemaNode>(compileSchema(content));
}

void readProperties(SchemaNode &node, const Json &content)
{
    for (const auto &[name, member] : content.items()) {
        node.members.emplace(name, compileSchema(member));
    }
}

void ignoreKeyword(SchemaNode & /*node*/, const Json & /*content*/)
{
}

SchemaNode compileSchema(const Json &schema)
{
    static const std::map<std::string, KeywordReader> Readers = {
        {"$schema", ignoreKeyword},
        {"title", ignoreKeyword},
        {"type", into(&SchemaNode::type)},
        {"enum", into(&SchemaNode::allowed)},
        {"minimum", into(&SchemaNode::minimum)},
        {"maximum", into(&SchemaNode::maximum)},
        {"minLength", into(&SchemaNode::minLength)},
        {"maxLength", into(&SchemaNode::maxLength)},
        {"minItems", into(&SchemaNode::minItems)},
        {"maxItems", into(&SchemaNode::maxItems)},
        {"uniqueItems", into(&SchemaNode::uniqueItems)},
        {"additionalProperties", into(&SchemaNode::open)},
        {"required", into(&SchemaNode::required)},
        {"items", readItems},
        {"properties", readProperties},
    };
    SchemaNode node;
    for (const auto &[keyword, content] : schema.items()) {
        const auto reader = Readers.find(keyword);
        if (reader == Readers.end()) {
            throw std::invalid_argument("the schema has an unsupported keyword: " + keyword);
        }
        reader->second(node, content);
    }
    return node;
}

// Integers have 63 bits and a sign, as code that reads a document may convert them to signed numbers.
bool isInteger(const Json &found)
{
    return found.is_number_integer() && (!found.is_number_unsigned() || found.get<std::uint64_t>() <= INT64_MAX);
}

bool hasType(const Json &found, std::string_view type)
{
    if (type.empty()) {
        return true;
    }
    return type == "integer" ? isInteger(found) : type == found.type_name();
}

std::optional<std::string> violatedByString(const SchemaNode &schema, std::string_view found)
{
    const std::size_t length = countCharacters(found);
    if (length < schema.minLength) {
        return "at least " + std::to_string(schema.minLength) + " characters";
    }
    if (length > schema.maxLength) {
        return "at most " + std::to_string(schema.maxLength) + " characters";
    }
    return std::nullopt;
}

std::optional<std::string> violatedByNumber(const SchemaNode &schema, double found)
{
    if (schema.minimum && found < *schema.minimum) {
        return "at least " + Json(*schema.minimum).dump();
    }
    if (schema.maximum && found > *schema.maximum) {
        return "at most " + Json(*schema.maximum).dump();
    }
    return std::nullopt;
}

std::optional<std::string> violatedByList(const SchemaNode &schema, const Json &found)
{
    if (found.size() < schema.minItems) {
        return "at least " + std::to_string(schema.minItems) + " values";
    }
    if (found.size() > schema.maxItems) {
        return "at most " + std::to_string(schema.maxItems) + " values";
    }
    if (schema.uniqueItems && hasDuplicates(found)) {
        return "no value twice";
    }
    return std::nullopt;
}

std::optional<std::string> violatedByObject(const SchemaNode &schema, const Json &found)
{
    for (const std::string &name : schema.required) {
        if (!found.contains(name)) {
            return "a member " + inQuotes(name);
        }
    }
    if (!schema.open) {
        for (const auto &[name, member] : found.items()) {
            if (!schema.members.contains(name)) {
                return "no member " + inQuotes(name);
            }
        }
    }
    return std::nullopt;
}

// What a value should be instead, apart from the values in it; empty if it is valid.
std::optional<std::string> violation(const SchemaNode &schema, const Json &found)
{
    if (!hasType(found, schema.type)) {
        return "type " + schema.type;
    }
    if (!schema.allowed.empty() && std::ranges::find(schema.allowed, found) == schema.allowed.end()) {
        return "one of " + Json(schema.allowed).dump();
    }
    if (found.is_string()) {
        return violatedByString(schema, found.get_ref<const std::string &>());
    }
    if (found.is_number()) {
        return violatedByNumber(schema, found.get<double>());
    }
    if (found.is_array()) {
        return violatedByList(schema, found);
    }
    return found.is_object() ? violatedByObject(schema, found) : std::nullopt;
}

// Whether a value is valid. If not, `error` is set to the first error. Recurses once for each level of the schema.
bool matchesSchema(const SchemaNode &schema, const Json &found, const Place *place, JsonError &error)
{
    if (const std::optional<std::string> expected = violation(schema, found)) {
        error = {pointerOf(place), describeValue(found), *expected};
        return false;
    }
    if (found.is_object()) {
        return std::ranges::all_of(schema.members, [&](const auto &each) {
            const auto &[name, member] = each;
            const auto at = found.find(name);
            const Place child{place, name, 0, false};
            return at == found.end() || matchesSchema(member, *at, &child, error);
        });
    }
    for (std::size_t i = 0; found.is_array() && schema.items != nullptr && i < found.size(); ++i) {
        const Place child{place, {}, i, true};
        if (!matchesSchema(*schema.items, found[i], &child, error)) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string JsonError::text() const
{
    return "at " + (pointer.empty() ? std::string("/") : pointer) + ": found " + found + ", expected " + expected;
}

std::optional<Json> parseStrictJson(std::string_view text, JsonError &error, std::size_t maxValues)
{
    StrictBuilder builder(maxValues);
    if (!Json::sax_parse(text.begin(), text.end(), &builder, Json::input_format_t::json, true)) {
        error = builder.error();
        return std::nullopt;
    }
    return builder.takeDocument();
}

std::optional<Json> parseStrictJson(std::string_view text)
{
    JsonError ignored;
    return parseStrictJson(text, ignored);
}

std::optional<Json> parseJsonResponse(std::string_view text)
{
    JsonError ignored;
    return parseStrictJson(text, ignored, SIZE_MAX);
}

JsonSchema::JsonSchema(std::string_view text)
    : m_root(std::make_unique<SchemaNode>(compileSchema(Json::parse(text))))
{
}

JsonSchema::~JsonSchema() = default;

bool JsonSchema::matches(const Json &document, JsonError &error) const
{
    return matchesSchema(*m_root, document, nullptr, error);
}

} // namespace Robinrail
