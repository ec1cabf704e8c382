// SPDX-License-Identifier: MIT
// API JSON: conversion between library types and the JSON of the administration API.
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

// Parse JSON made by toApi(); empty if it is malformed.
std::optional<SignedChange> signedChangeFromApi(std::string_view text);
std::optional<AuditRecord> auditRecordFromApi(const nlohmann::json &json);

std::string_view nameOf(RolloutStage stage);
std::string_view nameOf(TargetState state);
std::string_view nameOf(RaftRole role);

HttpResponse jsonResponse(const nlohmann::json &body, unsigned status = 200);

// The error format of the API: {"error": …, "detail": …}.
HttpResponse errorResponse(unsigned status, std::string_view error, std::string_view detail = {});

} // namespace Robinrail
