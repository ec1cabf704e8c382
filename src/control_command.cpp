// SPDX-License-Identifier: MIT
// Control commands: signing, and names of actions and refusals.
#include "control_command.h"

#include <algorithm>
#include <iterator>

namespace Robinrail {

namespace {

// Domain separator: a signature made for another purpose does not verify as one of a change.
constexpr std::string_view SignatureDomain = "robinrail-change-v1";

} // namespace

Bytes bytesToSign(const SignedChange &change)
{
    Bytes bytes;
    const auto append = [&bytes](const auto &part) {
        std::copy(part.begin(), part.end(), std::back_inserter(bytes));
    };
    append(SignatureDomain);
    append(change.change);
    bytes.push_back(static_cast<std::uint8_t>(change.operatorName.size()));
    append(change.operatorName);
    append(change.content);
    return bytes;
}

SignedChange signContent(const ChangeId &id, std::string operatorName, Bytes content, const SecretKey &key)
{
    SignedChange change;
    change.change = id;
    change.operatorName = std::move(operatorName);
    change.content = std::move(content);
    change.signature = sign(bytesToSign(change), key);
    return change;
}

SignedChange makeChange(const ChangeId &id, std::string operatorName, const ControlChange &content, const SecretKey &key)
{
    return signContent(id, std::move(operatorName), encodeMessage(content), key);
}

std::string_view nameOf(ChangeRefusal refusal)
{
    switch (refusal) {
    case ChangeRefusal::None:
        return "none";
    case ChangeRefusal::UnknownOperator:
        return "unknown-operator";
    case ChangeRefusal::RevokedOperator:
        return "revoked-operator";
    case ChangeRefusal::BadSignature:
        return "bad-signature";
    case ChangeRefusal::NotPermitted:
        return "not-permitted";
    case ChangeRefusal::Malformed:
        return "malformed";
    case ChangeRefusal::InvalidBundle:
        return "invalid-bundle";
    case ChangeRefusal::VersionConflict:
        return "version-conflict";
    case ChangeRefusal::UnknownProposal:
        return "unknown-proposal";
    case ChangeRefusal::AlreadyApproved:
        return "already-approved";
    case ChangeRefusal::NoSuchRollout:
        return "no-such-rollout";
    case ChangeRefusal::LastAdministrator:
        return "last-administrator";
    }
    return "unknown";
}

std::string_view actionName(const ControlChange &change)
{
    static constexpr std::string_view Names[] = {"propose-bundle", "approve-bundle", "steer-rollout", "set-operator"};
    return Names[change.index()];
}

} // namespace Robinrail
