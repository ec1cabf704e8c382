// SPDX-License-Identifier: MIT
// Bundles: the versioned configuration that operators sign and approve; parsing and validation.
#pragma once

#include "balancer_context.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Robinrail {

// An error in a JSON document: its JSON Pointer (RFC 6901), the value found, and what was expected.
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

// Approval and rollout policy of bundle changes.
struct BundlePolicy {
    std::uint32_t approvals = 1; // Number of operators that must approve the next bundle.
    std::vector<BalancerId> firstBalancers; // Receive a new version before the others; if empty, all receive it at once.
};

struct Bundle {
    std::vector<DataCentre> dataCentres;
    std::vector<ServiceSettings> services;
    BundlePolicy policy;
};

// Parses JSON strictly: duplicate keys and trailing content are errors.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, JsonError &error);

// Validates a document against one of the published schemas in schemas/.
bool matchesSchema(const nlohmann::json &document, std::string_view schema, JsonError &error);

// Texts of the published schemas.
std::string_view bundleSchema();
std::string_view balancerSettingsSchema();
std::string_view controlSettingsSchema();
std::string_view steeringSettingsSchema();

// Parses and validates the text of a bundle; empty with `error` set if it is not valid.
std::optional<Bundle> parseBundle(std::string_view text, JsonError &error);

} // namespace Robinrail
