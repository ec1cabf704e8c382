// SPDX-License-Identifier: MIT
// Control commands: signed changes that operators ask for, and the answers they get.
#pragma once

#include "codec.h"
#include "signature.h"

#include <string>
#include <variant>

namespace Robinrail {

// A number that the operator's tool draws once for each intended change. A resend carries the same one
// and gets the first answer again, which makes every change idempotent.
using ChangeId = std::array<std::uint8_t, 16>;

// Largest bundle text, bytes.
inline constexpr std::size_t MaxBundleSize = std::size_t{1} << 20U;

// Longest name of an operator, bytes.
inline constexpr std::size_t MaxOperatorName = 64;

enum class OperatorRole : std::uint8_t {
    Author, // Proposes and approves bundles, and steers rollouts.
    Administrator, // Also adds, rotates and revokes operators' keys.
};

// Proposes a bundle that replaces version baseVersion. Counts as its author's approval.
struct ProposeBundle {
    std::uint64_t baseVersion = 0;
    std::string bundle;

    auto fields()
    {
        return std::tie(baseVersion, bundle);
    }
};

// Approves the proposal that was made under another change id.
struct ApproveBundle {
    ChangeId proposal{};

    auto fields()
    {
        return std::tie(proposal);
    }
};

enum class RolloutAction : std::uint8_t {
    Continue, // From the first balancers to all.
    Stop, // Leave the others at the version before.
};

struct UpdateRollout {
    std::uint64_t version = 0;
    RolloutAction action = RolloutAction::Continue;

    auto fields()
    {
        return std::tie(version, action);
    }
};

// Adds an operator or replaces its key and role. A revoked operator can sign nothing any more.
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

// A change as it is signed, sent and replicated. `receivedAt` is set by the leader for the audit trail
// only and is not signed; seconds since the epoch.
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

// An operator's key and what it may sign.
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

// Who may sign before anybody has signed anything: the first command of a cluster, ignored later.
struct Genesis {
    std::vector<OperatorRecord> operators;

    auto fields()
    {
        return std::tie(operators);
    }
};

// What the replicated log carries.
using ControlCommand = std::variant<Genesis, SignedChange>;

// What an operator signs to drain something on one run of one balancer. It goes to that balancer and not
// through the log, as a stop must work without a quorum.
struct DrainOrder {
    BalancerKey balancer;
    TargetId target{}; // 0: the balancer itself.

    auto fields()
    {
        return std::tie(balancer, target);
    }
};

// Why a change was refused.
enum class ChangeRefusal : std::uint8_t {
    None,
    UnknownOperator,
    RevokedOperator,
    BadSignature,
    NotPermitted,
    Malformed,
    InvalidBundle,
    VersionConflict, // Another change took the version; `version` and `winner` name it.
    UnknownProposal,
    AlreadyApproved,
    NoSuchRollout,
    LastAdministrator,
};

// The answer to a change. The same for every resend.
struct ChangeResult {
    ChangeRefusal refusal = ChangeRefusal::None;
    std::uint64_t version = 0; // Accepted as this version, or the version in the way; 0: awaits approvals.
    std::uint32_t approvals = 0;
    std::uint32_t approvalsRequired = 0;
    ChangeId winner{};
    std::string detail;

    bool operator==(const ChangeResult &) const = default;

    auto fields()
    {
        return std::tie(refusal, version, approvals, approvalsRequired, winner, detail);
    }
};

// The bytes that an operator signs: a domain separator, the change id, the name and the content.
Bytes bytesToSign(const SignedChange &change);

// Signs any content under a change id, and a change or a drain order in particular.
SignedChange signContent(const ChangeId &id, std::string operatorName, Bytes content, const SecretKey &key);
SignedChange makeChange(const ChangeId &id, std::string operatorName, const ControlChange &content, const SecretKey &key);

// Names for output, in lower case with dashes.
std::string_view nameOf(ChangeRefusal refusal);
std::string_view actionName(const ControlChange &change);

} // namespace Robinrail
