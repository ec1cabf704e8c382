// SPDX-License-Identifier: MIT
// Bundles: strict JSON parsing, schema validation with valijson, and the checks that a schema can't express.
#include "bundle.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <set>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

// SAX handler that builds a document and rejects duplicate keys, which the default parser accepts.
class StrictBuilder : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    explicit StrictBuilder(Json &document)
        : json_sax_dom_parser(document, false)
    {
    }

    bool start_object(std::size_t size) // NOLINT(readability-identifier-naming): named by the library
    {
        m_keys.emplace_back();
        return json_sax_dom_parser::start_object(size);
    }

    bool end_object() // NOLINT(readability-identifier-naming)
    {
        m_keys.pop_back();
        return json_sax_dom_parser::end_object();
    }

    bool key(std::string &name)
    {
        if (!m_keys.back().insert(name).second) {
            m_duplicate = name;
            return false;
        }
        return json_sax_dom_parser::key(name);
    }

    template<typename Exception>
    bool parse_error(std::size_t position, const std::string &, const Exception &) // NOLINT(readability-identifier-naming)
    {
        m_errorAt = position;
        return false;
    }

    const std::string &duplicate() const
    {
        return m_duplicate;
    }

    std::size_t errorAt() const
    {
        return m_errorAt;
    }

private:
    std::vector<std::set<std::string>> m_keys;
    std::string m_duplicate;
    std::size_t m_errorAt = 0;
};

std::string jsonPointerOf(const std::vector<std::string> &context)
{
    std::string pointer;
    for (std::string part : context) {
        if (part == "<root>") {
            continue;
        }
        if (part.size() > 2 && part.front() == '[' && part.back() == ']') {
            part = part.substr(1, part.size() - 2);
        }
        if (part.size() > 2 && part.front() == '"' && part.back() == '"') {
            part = part.substr(1, part.size() - 2);
        }
        pointer += "/" + part;
    }
    return pointer;
}

std::string describeValue(const Json &document, const std::string &pointer)
{
    constexpr std::size_t MaxLength = 60;
    const Json::json_pointer at(pointer);
    const std::string text = document.contains(at) ? document.at(at).dump() : "nothing";
    return text.size() > MaxLength ? text.substr(0, MaxLength) + "..." : text;
}

bool hasDistinctValues(const Json &list, const char *key, const char *pointer, JsonError &error)
{
    std::set<std::string> seen;
    for (const Json &entry : list) {
        if (!seen.insert(entry.at(key).dump()).second) {
            error = {pointer, entry.at(key).dump() + " twice", std::string("a different ") + key + " for each entry"};
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

std::optional<Json> parseStrictJson(std::string_view text, JsonError &error)
{
    Json document;
    StrictBuilder builder(document);
    const bool parsed = Json::sax_parse(text.begin(), text.end(), &builder, Json::input_format_t::json, true);
    if (!builder.duplicate().empty()) {
        error = {"", "the key \"" + builder.duplicate() + "\" twice in one object", "each key once"};
        return std::nullopt;
    }
    if (!parsed) {
        error = {"", "no JSON at byte " + std::to_string(builder.errorAt()), "one JSON document"};
        return std::nullopt;
    }
    return document;
}

bool matchesSchema(const Json &document, std::string_view schemaText, JsonError &error)
{
    const Json schemaJson = Json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return true;
    }
    // Reports the innermost error, as the outer ones only say that something inside is invalid.
    valijson::ValidationResults::Error candidate;
    valijson::ValidationResults::Error deepest;
    while (results.popError(candidate)) {
        if (candidate.context.size() >= deepest.context.size()) {
            deepest = candidate;
        }
    }
    const std::string pointer = jsonPointerOf(deepest.context);
    error = {pointer, describeValue(document, pointer), deepest.description};
    return false;
}

std::optional<Bundle> parseBundle(std::string_view text, JsonError &error)
{
    const std::optional<Json> document = parseStrictJson(text, error);
    if (!document || !matchesSchema(*document, bundleSchema(), error)) {
        return std::nullopt;
    }
    const Json &services = document->at("services");
    const Json &dataCentres = document->at("dataCentres");
    if (!hasDistinctValues(services, "id", "/services", error) || !hasDistinctValues(services, "name", "/services", error)
        || !hasDistinctValues(dataCentres, "id", "/dataCentres", error)) {
        return std::nullopt;
    }
    Bundle bundle;
    for (const Json &entry : dataCentres) {
        bundle.dataCentres.push_back({DataCentreId{entry.at("id").get<std::uint8_t>()}, entry.at("name")});
    }
    for (const Json &entry : services) {
        ServiceSettings service;
        service.id = ServiceId{entry.at("id").get<std::uint16_t>()};
        service.name = entry.at("name");
        service.maxQueueDelay = std::chrono::milliseconds(entry.value("maxQueueDelayMs", 250));
        service.retryRatio = entry.value("retryRatio", service.retryRatio);
        bundle.services.push_back(std::move(service));
    }
    const Json &policy = document->at("policy");
    bundle.policy.approvals = policy.at("approvals").get<std::uint32_t>();
    for (const Json &entry : policy.value("firstBalancers", Json::array())) {
        bundle.policy.firstBalancers.push_back(BalancerId{entry.get<std::uint16_t>()});
    }
    return bundle;
}

} // namespace Robinrail
