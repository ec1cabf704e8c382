// SPDX-License-Identifier: MIT
// Bundles: the versioned configuration that operators sign off, parsed and checked.
#pragma once

#include "balancer_context.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Robinrail {

// What is wrong with a JSON document: where, what was found, and what was expected.
struct JsonError {
    std::string pointer;
    std::string found;
    std::string expected;

    std::string text() const;
};

struct DataCentre {
    DataCentreId id{};
    std::string name;
};

// How changes are accepted and rolled out.
struct BundlePolicy {
    std::uint32_t approvals = 1;
    std::vector<BalancerId> firstBalancers; // They get a new version first; empty: all at once.
};

struct Bundle {
    std::vector<DataCentre> dataCentres;
    std::vector<ServiceSettings> services;
    BundlePolicy policy;
};

// Parses JSON strictly: a duplicate key is an error, and so is anything after the document.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, JsonError &fault);

// Checks a document against one of the published schemas in schemas/.
bool matchesSchema(const nlohmann::json &document, std::string_view schema, JsonError &fault);

// The published schemas.
std::string_view bundleSchema();
std::string_view balancerSettingsSchema();
std::string_view controlSettingsSchema();
std::string_view steeringSettingsSchema();

// Parses and checks a bundle text; empty with `fault` set if it is not valid.
std::optional<Bundle> parseBundle(std::string_view text, JsonError &fault);

} // namespace Robinrail
