// SPDX-License-Identifier: MIT
// Rollout: making and applying offers, and tracking of subscribers.
#include "rollout.h"

#include "json_schema.h"

#include <algorithm>
#include <sodium.h>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

std::array<std::uint8_t, 32> digestOf(const Json &document)
{
    const std::string text = document.dump();
    std::array<std::uint8_t, 32> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr, 0);
    return digest;
}

// Parses the text of a bundle that was accepted, so that it is valid.
Json parseAccepted(std::string_view text)
{
    return parseStrictJson(text).value();
}

} // namespace

BundleOffer makeOffer(const BundleVersion *from, const BundleVersion &to, std::span<const OperatorRecord> operators)
{
    const Json document = parseAccepted(to.text);
    BundleOffer offer;
    offer.version = to.version;
    offer.document = document.dump();
    offer.digest = digestOf(document);
    offer.operators.assign(operators.begin(), operators.end());
    if (from != nullptr) {
        const std::string patch = Json::diff(parseAccepted(from->text), document).dump();
        if (patch.size() < offer.document.size()) {
            offer.baseVersion = from->version;
            offer.document = patch;
        }
    }
    return offer;
}

bool RolloutAgent::restore(std::uint64_t version, std::string_view text)
{
    JsonError fault;
    const std::optional<Bundle> bundle = parseBundle(text, fault);
    if (!bundle) {
        return false;
    }
    m_version = version;
    m_document = parseAccepted(text);
    m_bundle = *bundle;
    return true;
}

OfferResult RolloutAgent::applyOffer(const BundleOffer &offer)
{
    if (offer.version <= m_version) {
        m_operators = offer.version == m_version ? offer.operators : m_operators;
        return OfferResult::NotNewer;
    }
    if (offer.baseVersion != 0 && offer.baseVersion != m_version) {
        return OfferResult::BaseMismatch;
    }
    std::optional<Json> parsed = parseStrictJson(offer.document);
    if (!parsed) {
        return OfferResult::Damaged;
    }
    Json document = std::move(*parsed);
    if (offer.baseVersion != 0) {
        try {
            document = m_document.patch(document);
        } catch (const Json::exception &) {
            return OfferResult::Damaged;
        }
    }
    JsonError fault;
    const std::optional<Bundle> bundle = parseBundle(document.dump(), fault);
    if (!bundle || digestOf(document) != offer.digest) {
        return OfferResult::Damaged;
    }
    m_version = offer.version;
    m_document = std::move(document);
    m_bundle = *bundle;
    m_operators = offer.operators;
    return OfferResult::Applied;
}

void RolloutAgent::handleHeartbeat(TimePoint now, const ControlHeartbeat &heartbeat)
{
    if (heartbeat.inContact) {
        m_lastQuorumContact = now;
        m_hadQuorumContact = true;
        m_newestAnnounced = std::max(m_newestAnnounced, heartbeat.version);
    }
}

std::uint64_t RolloutAgent::version() const
{
    return m_version;
}

const Bundle &RolloutAgent::bundle() const
{
    return m_bundle;
}

std::string RolloutAgent::text() const
{
    return m_document.dump();
}

std::span<const OperatorRecord> RolloutAgent::operators() const
{
    return m_operators;
}

bool RolloutAgent::confirmed(TimePoint now) const
{
    return m_hadQuorumContact && now - m_lastQuorumContact < ConfirmationTimeout && m_newestAnnounced <= m_version && m_version > 0;
}

void RolloutTracker::subscribe(TimePoint now, const Subscribe &subscribe)
{
    m_subscribers[subscribe.balancer.id] = {subscribe.balancer, subscribe.version, now, true};
}

void RolloutTracker::report(TimePoint now, const VersionReport &report)
{
    const auto at = m_subscribers.find(report.balancer.id);
    if (at != m_subscribers.end() && at->second.balancer == report.balancer) {
        at->second.version = std::max(at->second.version, report.version);
        at->second.reportedAt = now;
    }
}

void RolloutTracker::disconnect(BalancerId balancer)
{
    const auto at = m_subscribers.find(balancer);
    if (at != m_subscribers.end()) {
        at->second.connected = false;
    }
}

std::vector<RolloutTracker::Subscriber> RolloutTracker::subscribers() const
{
    std::vector<Subscriber> list;
    for (const auto &[id, subscriber] : m_subscribers) {
        list.push_back(subscriber);
    }
    return list;
}

RolloutTracker::Progress RolloutTracker::progress(const BundleVersion &version) const
{
    Progress progress;
    for (const auto &[id, subscriber] : m_subscribers) {
        const std::vector<BalancerId> &first = version.firstBalancers;
        const bool included = version.stage == RolloutStage::All || std::find(first.begin(), first.end(), id) != first.end();
        if (subscriber.connected && included) {
            ++progress.expected;
            progress.inForce += subscriber.version >= version.version ? 1 : 0;
        }
    }
    return progress;
}

} // namespace Robinrail
