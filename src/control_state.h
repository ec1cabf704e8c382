// SPDX-License-Identifier: MIT
// Control state: the replicated state machine of signed bundles. Deterministic, so that all replicas end in the same state.
#pragma once

#include "control_command.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Robinrail {

// Number of change results that are kept to answer retries. An older retry still can't be applied twice, as
// its base version is no longer the newest.
inline constexpr std::size_t MaxCompletedChanges = 20'000;

// Numbers of audit records and bundle versions that a replica keeps. Dropping older ones doesn't interrupt the hash chain.
inline constexpr std::size_t MaxAuditRecords = 20'000;
inline constexpr std::size_t MaxBundleHistory = 64;

// Maximum number of proposals that await approvals; one more evicts the oldest.
inline constexpr std::size_t MaxProposals = 64;

// BLAKE2b-256 (RFC 7693).
using ChainHash = std::array<std::uint8_t, 32>;

// Record of one change, accepted or refused. `hash` covers all other fields, including the hash of the previous record.
struct AuditRecord {
    std::uint64_t number = 0;
    std::int64_t receivedAt = 0;
    std::string operatorName;
    std::string action;
    ChangeId change{};
    ChangeRefusal refusal = ChangeRefusal::None;
    std::uint64_t version = 0;
    ChainHash previous{};
    ChainHash hash{};

    auto fields()
    {
        return std::tie(number, receivedAt, operatorName, action, change, refusal, version, previous, hash);
    }
};

enum class RolloutStage : std::uint8_t {
    First, // Only the first balancers receive the version.
    All,
    Stopped, // The first balancers keep the version; the others stay at an earlier one.
};

struct BundleVersion {
    std::uint64_t version = 0;
    ChangeId change{};
    std::string author;
    std::string text;
    RolloutStage stage = RolloutStage::All;
    std::vector<BalancerId> firstBalancers;

    auto fields()
    {
        return std::tie(version, change, author, text, stage, firstBalancers);
    }
};

struct Proposal {
    ChangeId change{};
    std::string author;
    std::uint64_t baseVersion = 0;
    std::string text;
    std::vector<std::string> approvers;

    auto fields()
    {
        return std::tie(change, author, baseVersion, text, approvers);
    }
};

// Result of a change, kept to answer retries.
struct CompletedChange {
    ChangeId change{};
    ChangeResult result;

    auto fields()
    {
        return std::tie(change, result);
    }
};

class ControlState
{
public:
    using Change = SignedChange;
    using Result = ChangeResult;

    // Size of log entries that triggers a snapshot. A snapshot itself may hold 64 bundles of 1 MiB.
    static constexpr std::size_t CompactionBytes = std::size_t{64} << 20U;

    // Encodes a change as a log entry; applies a committed log entry.
    static Bytes encodeChange(const SignedChange &change);
    ChangeResult applyCommand(BytesView command);

    // Sets the initial operators; does nothing if there are operators already.
    void apply(const Genesis &genesis);

    // Applies a committed change and returns its result. A change id that was applied before returns its stored
    // result and changes nothing.
    ChangeResult apply(const SignedChange &change);

    // Number of the newest version, counted from 1; 0 if there is none.
    std::uint64_t latestVersion() const;

    // The newest version whose rollout includes this balancer: all balancers, or the first ones with this one among
    // them. Null if there is none.
    const BundleVersion *versionFor(BalancerId balancer) const;
    const BundleVersion *find(std::uint64_t version) const;
    const std::deque<BundleVersion> &history() const;
    const std::vector<Proposal> &proposals() const;
    const std::vector<OperatorRecord> &operators() const;
    const std::deque<AuditRecord> &audit() const;

    // The stored result of a change; null if there is none.
    const ChangeResult *findResult(const ChangeId &change) const;

    // Encodes the whole state. restore() returns false if the bytes can't be decoded.
    Bytes serialize() const;
    bool restore(BytesView bytes);

private:
    ChangeResult execute(const SignedChange &change, std::string &action);
    ChangeResult executeProposal(const SignedChange &change, const ProposeBundle &propose);
    ChangeResult executeApproval(const SignedChange &change, const ApproveBundle &approve);
    ChangeResult executeRollout(const UpdateRollout &steer);
    ChangeResult executeOperator(const OperatorRecord &signer, const SetOperator &set);
    ChangeResult publishIfApproved(std::size_t proposal);
    ChangeResult versionConflict() const;
    std::uint32_t approvalsRequired() const;
    OperatorRecord *findOperator(std::string_view name);
    void record(const SignedChange &change, std::string action, const ChangeResult &result);
    void storeResult(const ChangeId &change, const ChangeResult &result);

    std::vector<OperatorRecord> m_operators;
    std::deque<BundleVersion> m_history;
    std::vector<Proposal> m_proposals;
    std::deque<AuditRecord> m_audit;
    std::deque<CompletedChange> m_completedChanges;
    std::map<ChangeId, ChangeResult> m_results;
};

// Computes the hash of a record over all fields but `hash`.
ChainHash auditRecordHash(const AuditRecord &record);

// Verifies the hash chain of consecutive records; returns the number of the first invalid one, empty if all are valid.
std::optional<std::uint64_t> firstInvalidRecord(std::span<const AuditRecord> records);

} // namespace Robinrail
