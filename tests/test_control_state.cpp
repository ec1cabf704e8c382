// SPDX-License-Identifier: MIT
// Control state: approvals, roles, revocation, idempotent changes, staged rollout, audit trail.
#include "control_state.h"
#include "rollout.h"

#include <doctest/doctest.h>

using namespace Robinrail;

namespace {

std::string bundleText(int approvals, const std::string &more = {})
{
    return R"({"formatVersion": 1, "dataCentres": [{"id": 1, "name": "a"}], "services": [{"id": 1, "name": "s"}], "policy": {"approvals": )"
        + std::to_string(approvals) + more + "}}";
}

class Fixture
{
public:
    Fixture()
    {
        Genesis genesis;
        genesis.operators = {{"admin", admin.publicKey, OperatorRole::Administrator, false}, {"author", author.publicKey, OperatorRole::Author, false}};
        state.apply(genesis);
    }

    SignedChange change(const char *name, const ControlChange &content)
    {
        ChangeId id{};
        id[0] = ++lastId;
        return makeChange(id, name, content, std::string_view(name) == "admin" ? admin.secretKey : author.secretKey);
    }

    ChangeResult apply(const char *name, const ControlChange &content)
    {
        return state.apply(change(name, content));
    }

    KeyPair admin = generateKeyPair();
    KeyPair author = generateKeyPair();
    ControlState state;
    std::uint8_t lastId = 0;
};

} // namespace

TEST_CASE("a change applies once, and a retry receives the first result, also after a snapshot")
{
    Fixture fixture;
    const SignedChange change = fixture.change("admin", ProposeBundle{0, bundleText(1)});
    const ChangeResult first = fixture.state.apply(change);
    CHECK(first.version == 1);
    fixture.apply("admin", ProposeBundle{1, bundleText(1)});
    CHECK(fixture.state.apply(change) == first);
    ControlState restored;
    REQUIRE(restored.restore(fixture.state.serialize()));
    CHECK(restored.apply(change) == first);
    CHECK(restored.latestVersion() == 2);
    CHECK_FALSE(restored.restore(Bytes{1, 2, 3}));
}

TEST_CASE("a bundle that requires two approvals is accepted only after the second")
{
    Fixture fixture;
    fixture.apply("admin", ProposeBundle{0, bundleText(2)});
    const SignedChange proposal = fixture.change("author", ProposeBundle{1, bundleText(2)});
    CHECK(fixture.state.apply(proposal).version == 0);
    CHECK(fixture.state.latestVersion() == 1);
    CHECK(fixture.apply("author", ApproveBundle{proposal.change}).refusal == ChangeRefusal::AlreadyApproved);
    CHECK(fixture.apply("admin", ApproveBundle{proposal.change}).version == 2);
    CHECK(fixture.apply("admin", ApproveBundle{proposal.change}).refusal == ChangeRefusal::VersionConflict);
    CHECK(fixture.apply("admin", ApproveBundle{ChangeId{99}}).refusal == ChangeRefusal::UnknownProposal);
}

TEST_CASE("changes without valid authorization are refused and recorded in the audit trail")
{
    Fixture fixture;
    SignedChange forged = fixture.change("admin", ProposeBundle{0, bundleText(1)});
    forged.signature[0] ^= 1;
    CHECK(fixture.state.apply(forged).refusal == ChangeRefusal::BadSignature);
    CHECK(fixture.apply("nobody", ProposeBundle{0, bundleText(1)}).refusal == ChangeRefusal::UnknownOperator);
    const SetOperator revoke{"author", fixture.author.publicKey, OperatorRole::Author, true};
    CHECK(fixture.apply("author", revoke).refusal == ChangeRefusal::NotPermitted);
    CHECK(fixture.apply("admin", revoke).refusal == ChangeRefusal::None);
    CHECK(fixture.apply("author", ProposeBundle{0, bundleText(1)}).refusal == ChangeRefusal::RevokedOperator);
    const SetOperator last{"admin", fixture.admin.publicKey, OperatorRole::Author, false};
    CHECK(fixture.apply("admin", last).refusal == ChangeRefusal::LastAdministrator);
    CHECK(fixture.apply("admin", ProposeBundle{0, "{}"}).refusal == ChangeRefusal::InvalidBundle);
    CHECK(fixture.state.audit().size() == 7);
    CHECK(fixture.state.audit().front().refusal == ChangeRefusal::BadSignature);
}

TEST_CASE("a forged change does not block the change id of the genuine one")
{
    Fixture fixture;
    const SignedChange change = fixture.change("admin", ProposeBundle{0, bundleText(1)});
    SignedChange forged = change;
    forged.signature[3] ^= 1;
    fixture.state.apply(forged);
    CHECK(fixture.state.apply(change).version == 1);
}

TEST_CASE("the hash chain reveals changed and missing audit records")
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 5; ++version) {
        fixture.apply("admin", ProposeBundle{version, bundleText(1)});
    }
    std::vector<AuditRecord> records(fixture.state.audit().begin(), fixture.state.audit().end());
    CHECK_FALSE(firstInvalidRecord(records));
    std::vector<AuditRecord> changed = records;
    changed[2].operatorName = "other";
    CHECK(firstInvalidRecord(changed) == 3);
    changed = records;
    changed.erase(changed.begin() + 1);
    CHECK(firstInvalidRecord(changed) == 3);
    changed = records;
    changed[1].version = 7;
    changed[1].hash = auditRecordHash(changed[1]);
    CHECK(firstInvalidRecord(changed) == 3);
}

TEST_CASE("a stopped rollout leaves its version on the first balancers only, and the next version reaches all")
{
    Fixture fixture;
    fixture.apply("admin", ProposeBundle{0, bundleText(1)});
    fixture.apply("admin", ProposeBundle{1, bundleText(1, R"(, "firstBalancers": [3])")});
    CHECK(fixture.state.versionFor(BalancerId{3})->version == 2);
    CHECK(fixture.state.versionFor(BalancerId{4})->version == 1);
    CHECK(fixture.apply("author", UpdateRollout{1, RolloutAction::Continue}).refusal == ChangeRefusal::NoSuchRollout);
    CHECK(fixture.apply("author", UpdateRollout{2, RolloutAction::Stop}).refusal == ChangeRefusal::None);
    CHECK(fixture.state.versionFor(BalancerId{4})->version == 1);
    CHECK(fixture.state.versionFor(BalancerId{3})->version == 2);
    CHECK(fixture.apply("author", UpdateRollout{2, RolloutAction::Continue}).refusal == ChangeRefusal::NoSuchRollout);
    fixture.apply("admin", ProposeBundle{2, bundleText(1)});
    CHECK(fixture.state.versionFor(BalancerId{4})->version == 3);
}

TEST_CASE("a balancer applies offers atomically and only upward, as a patch or as a whole document")
{
    Fixture fixture;
    fixture.apply("admin", ProposeBundle{0, bundleText(1)});
    std::string text2 = bundleText(1, R"(, "firstBalancers": [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17])");
    fixture.apply("admin", ProposeBundle{1, text2});
    std::string text3 = text2;
    text3.replace(text3.find("17"), 2, "18");
    fixture.apply("admin", ProposeBundle{2, text3});
    const auto offer = [&](std::uint64_t from, std::uint64_t to) {
        return makeOffer(fixture.state.find(from), *fixture.state.find(to), fixture.state.operators());
    };
    RolloutAgent agent;
    CHECK(agent.applyOffer(offer(2, 3)) == OfferResult::BaseMismatch);
    CHECK(agent.applyOffer(offer(0, 1)) == OfferResult::Applied);
    BundleOffer damaged = offer(0, 2);
    damaged.digest[0] ^= 1;
    CHECK(agent.applyOffer(damaged) == OfferResult::Damaged);
    CHECK(agent.version() == 1);
    CHECK(agent.applyOffer(offer(0, 2)) == OfferResult::Applied);
    const BundleOffer patch = offer(2, 3);
    CHECK(patch.baseVersion == 2);
    CHECK(patch.document.size() < offer(0, 3).document.size());
    CHECK(agent.applyOffer(patch) == OfferResult::Applied);
    CHECK(agent.applyOffer(offer(0, 1)) == OfferResult::NotNewer);
    CHECK(agent.version() == 3);
    RolloutAgent restarted;
    CHECK(restarted.restore(agent.version(), agent.text()));
    CHECK(restarted.applyOffer(offer(0, 2)) == OfferResult::NotNewer);
}

TEST_CASE("a version is confirmed only by recent heartbeats of a replica in contact with a quorum")
{
    Fixture fixture;
    fixture.apply("admin", ProposeBundle{0, bundleText(1)});
    RolloutAgent agent;
    agent.applyOffer(makeOffer(nullptr, *fixture.state.find(1), {}));
    const TimePoint start{std::chrono::seconds(100)};
    CHECK_FALSE(agent.confirmed(start));
    agent.handleHeartbeat(start, {1, false});
    CHECK_FALSE(agent.confirmed(start));
    agent.handleHeartbeat(start, {1, true});
    CHECK(agent.confirmed(start));
    CHECK_FALSE(agent.confirmed(start + ConfirmationTimeout));
    agent.handleHeartbeat(start, {2, true});
    CHECK_FALSE(agent.confirmed(start));
}
