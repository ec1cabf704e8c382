// SPDX-License-Identifier: MIT
// Bundles: the versioned configuration that operators sign and approve; parsing and validation.
#pragma once

#include "balancer_context.h"
#include "json_schema.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Robinrail {

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

// Texts of the published schemas.
std::string_view bundleSchema();
std::string_view balancerSettingsSchema();
std::string_view controlSettingsSchema();
std::string_view steeringSettingsSchema();

// Parses and validates the text of a bundle; empty with `error` set if it is not valid.
std::optional<Bundle> parseBundle(std::string_view text, JsonError &error);

} // namespace Robinrail
