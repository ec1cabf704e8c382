// SPDX-License-Identifier: MIT
// Bundles: parsing, and the checks that a schema can't express.
#include "bundle.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

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

std::optional<Bundle> parseBundle(std::string_view text, JsonError &error)
{
    static const JsonSchema Schema(bundleSchema());
    const std::optional<Json> document = parseStrictJson(text, error);
    if (!document || !Schema.matches(*document, error)) {
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
