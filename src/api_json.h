// SPDX-License-Identifier: MIT
// API JSON: how values of the library look in the administration API.
#pragma once

#include "control_core.h"
#include "event.h"
#include "http.h"
#include "peer_table.h"
#include "rollout.h"
#include "target_table.h"

#include <nlohmann/json.hpp>

namespace Robinrail {

nlohmann::json changeIdJson(const ChangeId &id);
nlohmann::json toApi(const ChangeResult &result);
nlohmann::json toApi(const AuditRecord &record);
nlohmann::json toApi(const OperatorRecord &record);
nlohmann::json toApi(const BundleVersion &version, bool withText);
nlohmann::json toApi(const Proposal &proposal);
nlohmann::json toApi(const Target &target, TimePoint now);
nlohmann::json toApi(const Peer &peer, TimePoint now);
nlohmann::json toApi(const Event &event, std::uint64_t number);
nlohmann::json toApi(const SignedChange &change);

// Reads back what toApi() made; empty if the JSON has another shape.
std::optional<SignedChange> signedChangeFromApi(std::string_view text);
std::optional<AuditRecord> auditRecordFromApi(const nlohmann::json &json);

std::string_view nameOf(RolloutStage stage);
std::string_view nameOf(TargetState state);
std::string_view nameOf(RaftRole role);

HttpResponse jsonResponse(const nlohmann::json &body, unsigned status = 200);

// An error in the form that all errors of the API have: {"error": …, "detail": …}.
HttpResponse errorResponse(unsigned status, std::string_view error, std::string_view detail = {});

} // namespace Robinrail
