// SPDX-License-Identifier: MIT
// Control commands: signed configuration changes submitted by operators, and their results.
#pragma once

#include "codec.h"
#include "signature.h"

#include <string>
#include <variant>

namespace Robinrail {

// Random id that the operator's tool generates once per intended change. A retry carries the same id and
// receives the result of the first attempt, which makes every change idempotent.
using ChangeId = std::array<std::uint8_t, 16>;

// Maximum size of a bundle's text in bytes.
inline constexpr std::size_t MaxBundleSize = std::size_t{1} << 20U;

// Maximum length of an operator's name in bytes.
inline constexpr std::size_t MaxOperatorName = 64;

enum class OperatorRole : std::uint8_t {
    Author, // Proposes and approves bundles, continues and stops rollouts.
    Administrator, // An author that also adds, rotates and revokes operators' keys.
};

// Proposes a bundle that replaces version `baseVersion`. Counts as the approval of its author.
struct ProposeBundle {
    std::uint64_t baseVersion = 0;
    std::string bundle;

    auto fields()
    {
        return std::tie(baseVersion, bundle);
    }
};

// Approves the proposal whose change id is `proposal`.
struct ApproveBundle {
    ChangeId proposal{};

    auto fields()
    {
        return std::tie(proposal);
    }
};

enum class RolloutAction : std::uint8_t {
    Continue, // Extends the rollout from the first balancers to all.
    Stop, // Leaves all but the first balancers at the previous version.
};

// Continues or stops the staged rollout of `version`.
struct UpdateRollout {
    std::uint64_t version = 0;
    RolloutAction action = RolloutAction::Continue;

    auto fields()
    {
        return std::tie(version, action);
    }
};

// Adds an operator, or replaces its key and role. Changes signed by a revoked operator are refused.
struct SetOperator {
    std::string name;
    PublicKey key{};
    OperatorRole role = OperatorRole::Author;
    bool revoked = false;

    auto fields()
    {
        return std::tie(name, key, role, revoked);
    }
};

using ControlChange = std::variant<ProposeBundle, ApproveBundle, UpdateRollout, SetOperator>;

// A change as it is signed, sent and replicated. `receivedAt`, in seconds since the epoch, is set by the
// leader for the audit trail and is not covered by the signature.
struct SignedChange {
    ChangeId change{};
    std::string operatorName;
    Bytes content; // An encoded ControlChange.
    Signature signature{};
    std::int64_t receivedAt = 0;

    auto fields()
    {
        return std::tie(change, operatorName, content, signature, receivedAt);
    }
};

// An operator's public key, and the role that decides which changes it may sign.
struct OperatorRecord {
    std::string name;
    PublicKey key{};
    OperatorRole role = OperatorRole::Author;
    bool revoked = false;

    auto fields()
    {
        return std::tie(name, key, role, revoked);
    }
};

// The initial operators, whose keys are trusted without a signature. Ignored once the cluster has operators.
struct Genesis {
    std::vector<OperatorRecord> operators;

    auto fields()
    {
        return std::tie(operators);
    }
};

// The payload of an entry of the replicated log.
using ControlCommand = std::variant<Genesis, SignedChange>;

// Drains a target or a balancer. It is valid for one incarnation of one balancer and is sent to it directly,
// not through the log, because draining must work without a quorum.
struct DrainOrder {
    BalancerKey balancer;
    TargetId target{}; // 0 drains the balancer itself.

    auto fields()
    {
        return std::tie(balancer, target);
    }
};

enum class ChangeRefusal : std::uint8_t {
    None,
    UnknownOperator,
    RevokedOperator,
    BadSignature,
    NotPermitted,
    Malformed,
    InvalidBundle,
    VersionConflict, // The base version is no longer the newest; `version` and `winner` identify the newest one.
    UnknownProposal,
    AlreadyApproved,
    NoSuchRollout,
    LastAdministrator,
};

// The outcome of a change; every retry receives the same one.
struct ChangeResult {
    ChangeRefusal refusal = ChangeRefusal::None;
    std::uint64_t version = 0; // The accepted or the conflicting version; 0 while approvals are missing.
    std::uint32_t approvals = 0;
    std::uint32_t approvalsRequired = 0;
    ChangeId winner{}; // On a conflict, the change that created `version`.
    std::string detail;

    bool operator==(const ChangeResult &) const = default;

    auto fields()
    {
        return std::tie(refusal, version, approvals, approvalsRequired, winner, detail);
    }
};

// The bytes covered by the signature: domain separator, change id, length and text of the name, content.
Bytes bytesToSign(const SignedChange &change);

// Signs encoded content, such as that of a DrainOrder, under a change id. makeChange() encodes a ControlChange first.
SignedChange signContent(const ChangeId &id, std::string operatorName, Bytes content, const SecretKey &key);
SignedChange makeChange(const ChangeId &id, std::string operatorName, const ControlChange &content, const SecretKey &key);

// Names used in the API and the audit trail, in kebab case.
std::string_view nameOf(ChangeRefusal refusal);
std::string_view actionName(const ControlChange &change);

} // namespace Robinrail
