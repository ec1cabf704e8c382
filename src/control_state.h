// SPDX-License-Identifier: MIT
// Control state: what the replicas agree on. Deterministic, so that every replica has the same.
#pragma once

#include "control_command.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Robinrail {

// Change results are kept for resends for this many changes. An older resend still can't apply twice, as
// the version that it builds on has passed.
inline constexpr std::size_t MaxCompletedChanges = 20'000;

// Audit records and bundle texts that a replica keeps; older ones are dropped, the hash chain goes on.
inline constexpr std::size_t MaxAuditRecords = 20'000;
inline constexpr std::size_t MaxBundleHistory = 64;

// Most proposals that wait for approvals.
inline constexpr std::size_t MaxProposals = 64;

// BLAKE2b-256.
using ChainHash = std::array<std::uint8_t, 32>;

// One attempt to change something, refused ones too. `hash` covers all other fields and the hash before.
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
    First, // Only the first balancers may take the version.
    All,
    Stopped, // The first balancers keep it; the others stay below it.
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

    // Entries of this many bytes are replaced by a snapshot, which itself may hold 64 bundles of 1 MiB.
    static constexpr std::size_t CompactionBytes = std::size_t{64} << 20U;

    // A change as the replicated log carries it, and a command of the log applied.
    static Bytes encodeChange(const SignedChange &change);
    ChangeResult applyCommand(BytesView command);

    // Takes the first operators; does nothing if there are any.
    void apply(const Genesis &genesis);

    // Applies one committed change and answers it. A change id that was answered before is answered the
    // same again and changes nothing.
    ChangeResult apply(const SignedChange &change);

    // Version numbers start at 1; 0 without any.
    std::uint64_t latestVersion() const;

    // The newest version that a balancer may have: the newest one, or the one before while the newest is
    // only for the first balancers. Null without any.
    const BundleVersion *versionFor(BalancerId balancer) const;
    const BundleVersion *find(std::uint64_t version) const;
    const std::deque<BundleVersion> &history() const;
    const std::vector<Proposal> &proposals() const;
    const std::vector<OperatorRecord> &operators() const;
    const std::deque<AuditRecord> &audit() const;

    // The answer that a change id has got; null if it is not remembered.
    const ChangeResult *findResult(const ChangeId &change) const;

    // The whole state as bytes, and back. False if the bytes are not a state.
    Bytes serialize() const;
    bool restore(BytesView bytes);

private:
    ChangeResult decide(const SignedChange &change, std::string &action);
    ChangeResult decideProposal(const SignedChange &change, const ProposeBundle &propose);
    ChangeResult decideApproval(const SignedChange &change, const ApproveBundle &approve);
    ChangeResult decideRollout(const UpdateRollout &steer);
    ChangeResult decideOperator(const OperatorRecord &signer, const SetOperator &set);
    ChangeResult acceptIfApproved(std::size_t proposal);
    ChangeResult conflict() const;
    std::uint32_t approvalsRequired() const;
    OperatorRecord *findOperator(std::string_view name);
    void record(const SignedChange &change, std::string action, const ChangeResult &result);
    void remember(const ChangeId &change, const ChangeResult &result);

    std::vector<OperatorRecord> m_operators;
    std::deque<BundleVersion> m_history;
    std::vector<Proposal> m_proposals;
    std::deque<AuditRecord> m_audit;
    std::deque<CompletedChange> m_completedChanges;
    std::map<ChangeId, ChangeResult> m_results;
};

// The hash that a record must carry.
ChainHash auditRecordHash(const AuditRecord &record);

// Checks a chain of consecutive records; the number of the first bad record, or empty if all are sound.
std::optional<std::uint64_t> firstInvalidRecord(std::span<const AuditRecord> records);

} // namespace Robinrail
