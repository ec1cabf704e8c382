// SPDX-License-Identifier: MIT
// Control state: execution of changes, audit trail, serialization.
#include "control_state.h"

#include "bundle.h"

#include <algorithm>
#include <sodium.h>

namespace Robinrail {

namespace {

// The encoded form of the whole state in a snapshot.
struct StateSnapshot {
    std::vector<OperatorRecord> operators;
    std::vector<BundleVersion> history;
    std::vector<Proposal> proposals;
    std::vector<AuditRecord> audit;
    std::vector<CompletedChange> completedChanges;

    auto fields()
    {
        return std::tie(operators, history, proposals, audit, completedChanges);
    }
};

ChangeResult refused(ChangeRefusal refusal, std::string detail = {})
{
    ChangeResult result;
    result.refusal = refusal;
    result.detail = std::move(detail);
    return result;
}

template<typename T>
std::vector<T> toVector(const std::deque<T> &list)
{
    return std::vector<T>(list.begin(), list.end());
}

template<typename T>
std::deque<T> toDeque(std::vector<T> &&list)
{
    return std::deque<T>(std::make_move_iterator(list.begin()), std::make_move_iterator(list.end()));
}

} // namespace

Bytes ControlState::encodeChange(const SignedChange &change)
{
    return encodeMessage(ControlCommand(change));
}

ChangeResult ControlState::applyCommand(BytesView bytes)
{
    const std::optional<ControlCommand> command = decodeMessage<ControlCommand>(bytes);
    if (const auto *change = command ? std::get_if<SignedChange>(&*command) : nullptr) {
        return apply(*change);
    }
    if (command) {
        apply(std::get<Genesis>(*command));
    }
    return {};
}

void ControlState::apply(const Genesis &genesis)
{
    if (m_operators.empty()) {
        m_operators = genesis.operators;
    }
}

ChangeResult ControlState::apply(const SignedChange &change)
{
    if (const ChangeResult *known = findResult(change.change)) {
        return *known;
    }
    std::string action = "malformed";
    ChangeResult result = execute(change, action);
    record(change, std::move(action), result);
    // The refusal of an unauthenticated change is not stored: it would block the change id of the genuine one.
    const bool authentic = result.refusal != ChangeRefusal::BadSignature && result.refusal != ChangeRefusal::UnknownOperator
        && result.refusal != ChangeRefusal::RevokedOperator && result.refusal != ChangeRefusal::Malformed;
    if (authentic) {
        storeResult(change.change, result);
    }
    return result;
}

ChangeResult ControlState::execute(const SignedChange &change, std::string &action)
{
    const std::optional<ControlChange> content = decodeMessage<ControlChange>(change.content);
    if (!content || change.operatorName.size() > MaxOperatorName) {
        return refused(ChangeRefusal::Malformed);
    }
    action = actionName(*content);
    const OperatorRecord *known = findOperator(change.operatorName);
    if (known == nullptr) {
        return refused(ChangeRefusal::UnknownOperator);
    }
    if (!verify(bytesToSign(change), change.signature, known->key)) {
        return refused(ChangeRefusal::BadSignature);
    }
    if (known->revoked) {
        return refused(ChangeRefusal::RevokedOperator);
    }
    const OperatorRecord signer = *known;
    if (const auto *propose = std::get_if<ProposeBundle>(&*content)) {
        return executeProposal(change, *propose);
    }
    if (const auto *approve = std::get_if<ApproveBundle>(&*content)) {
        return executeApproval(change, *approve);
    }
    if (const auto *update = std::get_if<UpdateRollout>(&*content)) {
        return executeRollout(*update);
    }
    return executeOperator(signer, std::get<SetOperator>(*content));
}

// Compare-and-set on the version: of two proposals with the same base, the one that completes its approvals first in
// log order is accepted; the other is refused with the id of the accepted change.
ChangeResult ControlState::executeProposal(const SignedChange &change, const ProposeBundle &propose)
{
    if (propose.bundle.size() > MaxBundleSize) {
        return refused(ChangeRefusal::InvalidBundle, "larger than " + std::to_string(MaxBundleSize) + " bytes");
    }
    JsonError fault;
    if (!parseBundle(propose.bundle, fault)) {
        return refused(ChangeRefusal::InvalidBundle, fault.text());
    }
    if (propose.baseVersion != latestVersion()) {
        return versionConflict();
    }
    if (m_proposals.size() >= MaxProposals) {
        m_proposals.erase(m_proposals.begin());
    }
    m_proposals.push_back({change.change, change.operatorName, propose.baseVersion, propose.bundle, {change.operatorName}});
    return publishIfApproved(m_proposals.size() - 1);
}

ChangeResult ControlState::executeApproval(const SignedChange &change, const ApproveBundle &approve)
{
    const auto at = std::find_if(m_proposals.begin(), m_proposals.end(), [&approve](const Proposal &proposal) {
        return proposal.change == approve.proposal;
    });
    if (at == m_proposals.end()) {
        const ChangeResult *known = findResult(approve.proposal);
        return known != nullptr ? versionConflict() : refused(ChangeRefusal::UnknownProposal);
    }
    if (std::find(at->approvers.begin(), at->approvers.end(), change.operatorName) != at->approvers.end()) {
        return refused(ChangeRefusal::AlreadyApproved);
    }
    at->approvers.push_back(change.operatorName);
    return publishIfApproved(static_cast<std::size_t>(at - m_proposals.begin()));
}

ChangeResult ControlState::publishIfApproved(std::size_t index)
{
    const Proposal &proposal = m_proposals[index];
    ChangeResult result;
    // Approvals by operators that have been revoked since don't count.
    result.approvals = static_cast<std::uint32_t>(std::count_if(proposal.approvers.begin(), proposal.approvers.end(), [this](const std::string &name) {
        const OperatorRecord *approver = findOperator(name);
        return approver != nullptr && !approver->revoked;
    }));
    result.approvalsRequired = approvalsRequired();
    if (result.approvals < result.approvalsRequired) {
        return result;
    }
    JsonError fault;
    const std::optional<Bundle> bundle = parseBundle(proposal.text, fault);
    BundleVersion version;
    version.version = latestVersion() + 1;
    version.change = proposal.change;
    version.author = proposal.author;
    version.text = proposal.text;
    version.firstBalancers = bundle->policy.firstBalancers;
    version.stage = version.firstBalancers.empty() ? RolloutStage::All : RolloutStage::First;
    result.version = version.version;
    m_history.push_back(std::move(version));
    while (m_history.size() > MaxBundleHistory) {
        m_history.pop_front();
    }
    m_proposals.clear(); // The base version of the others is no longer the newest.
    return result;
}

ChangeResult ControlState::executeRollout(const UpdateRollout &update)
{
    BundleVersion *newest = m_history.empty() ? nullptr : &m_history.back();
    if (newest == nullptr || newest->version != update.version || newest->stage != RolloutStage::First) {
        return refused(ChangeRefusal::NoSuchRollout);
    }
    newest->stage = update.action == RolloutAction::Continue ? RolloutStage::All : RolloutStage::Stopped;
    ChangeResult result;
    result.version = update.version;
    return result;
}

ChangeResult ControlState::executeOperator(const OperatorRecord &signer, const SetOperator &set)
{
    if (signer.role != OperatorRole::Administrator) {
        return refused(ChangeRefusal::NotPermitted);
    }
    if (set.name.empty() || set.name.size() > MaxOperatorName) {
        return refused(ChangeRefusal::Malformed);
    }
    std::vector<OperatorRecord> changed = m_operators;
    const OperatorRecord replacement{set.name, set.key, set.role, set.revoked};
    const auto at = std::find_if(changed.begin(), changed.end(), [&set](const OperatorRecord &record) {
        return record.name == set.name;
    });
    if (at != changed.end()) {
        *at = replacement;
    } else {
        changed.push_back(replacement);
    }
    const bool hasAdministrator = std::any_of(changed.begin(), changed.end(), [](const OperatorRecord &record) {
        return record.role == OperatorRole::Administrator && !record.revoked;
    });
    if (!hasAdministrator) {
        return refused(ChangeRefusal::LastAdministrator);
    }
    m_operators = std::move(changed);
    ChangeResult result;
    result.version = latestVersion();
    return result;
}

ChangeResult ControlState::versionConflict() const
{
    ChangeResult result = refused(ChangeRefusal::VersionConflict);
    result.version = latestVersion();
    if (!m_history.empty()) {
        result.winner = m_history.back().change;
        result.detail = "taken by " + m_history.back().author;
    }
    return result;
}

std::uint32_t ControlState::approvalsRequired() const
{
    if (m_history.empty()) {
        return 1;
    }
    JsonError fault;
    const std::optional<Bundle> bundle = parseBundle(m_history.back().text, fault);
    return bundle ? bundle->policy.approvals : 1;
}

std::uint64_t ControlState::latestVersion() const
{
    return m_history.empty() ? 0 : m_history.back().version;
}

const BundleVersion *ControlState::versionFor(BalancerId balancer) const
{
    for (auto version = m_history.rbegin(); version != m_history.rend(); ++version) {
        const std::vector<BalancerId> &first = version->firstBalancers;
        const bool isFirst = std::find(first.begin(), first.end(), balancer) != first.end();
        if (version->stage == RolloutStage::All || isFirst) {
            return &*version;
        }
    }
    return nullptr;
}

const BundleVersion *ControlState::find(std::uint64_t version) const
{
    const auto at = std::find_if(m_history.begin(), m_history.end(), [version](const BundleVersion &entry) {
        return entry.version == version;
    });
    return at != m_history.end() ? &*at : nullptr;
}

const std::deque<BundleVersion> &ControlState::history() const
{
    return m_history;
}

const std::vector<Proposal> &ControlState::proposals() const
{
    return m_proposals;
}

const std::vector<OperatorRecord> &ControlState::operators() const
{
    return m_operators;
}

const std::deque<AuditRecord> &ControlState::audit() const
{
    return m_audit;
}

const ChangeResult *ControlState::findResult(const ChangeId &change) const
{
    const auto at = m_results.find(change);
    return at != m_results.end() ? &at->second : nullptr;
}

OperatorRecord *ControlState::findOperator(std::string_view name)
{
    const auto at = std::find_if(m_operators.begin(), m_operators.end(), [name](const OperatorRecord &record) {
        return record.name == name;
    });
    return at != m_operators.end() ? &*at : nullptr;
}

void ControlState::record(const SignedChange &change, std::string action, const ChangeResult &result)
{
    AuditRecord entry;
    entry.number = m_audit.empty() ? 1 : m_audit.back().number + 1;
    entry.receivedAt = change.receivedAt;
    entry.operatorName = change.operatorName.substr(0, MaxOperatorName);
    entry.action = std::move(action);
    entry.change = change.change;
    entry.refusal = result.refusal;
    entry.version = result.version;
    entry.previous = m_audit.empty() ? ChainHash{} : m_audit.back().hash;
    entry.hash = auditRecordHash(entry);
    m_audit.push_back(std::move(entry));
    while (m_audit.size() > MaxAuditRecords) {
        m_audit.pop_front();
    }
}

void ControlState::storeResult(const ChangeId &change, const ChangeResult &result)
{
    m_completedChanges.push_back({change, result});
    m_results[change] = result;
    while (m_completedChanges.size() > MaxCompletedChanges) {
        m_results.erase(m_completedChanges.front().change);
        m_completedChanges.pop_front();
    }
}

Bytes ControlState::serialize() const
{
    StateSnapshot snapshot;
    snapshot.operators = m_operators;
    snapshot.history = toVector(m_history);
    snapshot.proposals = m_proposals;
    snapshot.audit = toVector(m_audit);
    snapshot.completedChanges = toVector(m_completedChanges);
    return encodeObject(snapshot);
}

bool ControlState::restore(BytesView bytes)
{
    StateSnapshot snapshot;
    if (!decodeObject(bytes, snapshot)) {
        return false;
    }
    m_operators = std::move(snapshot.operators);
    m_history = toDeque(std::move(snapshot.history));
    m_proposals = std::move(snapshot.proposals);
    m_audit = toDeque(std::move(snapshot.audit));
    m_completedChanges = toDeque(std::move(snapshot.completedChanges));
    m_results.clear();
    for (const CompletedChange &entry : m_completedChanges) {
        m_results[entry.change] = entry.result;
    }
    return true;
}

ChainHash auditRecordHash(const AuditRecord &record)
{
    AuditRecord content = record;
    content.hash = {};
    const Bytes bytes = encodeObject(content);
    ChainHash hash{};
    crypto_generichash(hash.data(), hash.size(), bytes.data(), bytes.size(), nullptr, 0);
    return hash;
}

std::optional<std::uint64_t> firstInvalidRecord(std::span<const AuditRecord> records)
{
    for (std::size_t i = 0; i < records.size(); ++i) {
        const bool linked = i == 0 || (records[i].previous == records[i - 1].hash && records[i].number == records[i - 1].number + 1);
        if (!linked || auditRecordHash(records[i]) != records[i].hash) {
            return records[i].number;
        }
    }
    return std::nullopt;
}

} // namespace Robinrail
