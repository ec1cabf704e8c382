// SPDX-License-Identifier: MIT
// Rollout: distribution of committed bundle versions from control replicas to balancers.
#pragma once

#include "bundle.h"
#include "control_state.h"
#include "link_message.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Robinrail {

// Interval between the heartbeats that a replica sends to subscribed balancers.
inline constexpr Duration ControlHeartbeatInterval = std::chrono::seconds(1);

// A balancer reports its version as unconfirmed after this time without a heartbeat from a replica in contact with a quorum.
inline constexpr Duration ConfirmationTimeout = std::chrono::seconds(3);

// Makes an offer that updates a balancer from version `from` to `to`: a JSON Patch (RFC 6902) if it is shorter than the
// whole document. A null `from` always gives the whole document.
BundleOffer makeOffer(const BundleVersion *from, const BundleVersion &to, std::span<const OperatorRecord> operators);

enum class OfferResult : std::uint8_t {
    Applied,
    NotNewer, // The offered version is not above the one in force; versions never decrease.
    BaseMismatch, // The patch applies to another base version; the whole document must be requested.
    Damaged, // The document is malformed or its digest differs; it was not applied.
};

// The balancer's side: holds the bundle in force. Offers are applied atomically, and only if their version is higher.
class RolloutAgent
{
public:
    // Restores the bundle saved on disk; false if the text is not a valid bundle.
    bool restore(std::uint64_t version, std::string_view text);

    OfferResult applyOffer(const BundleOffer &offer);
    void handleHeartbeat(TimePoint now, const ControlHeartbeat &heartbeat);

    std::uint64_t version() const;
    const Bundle &bundle() const;
    std::string text() const;
    std::span<const OperatorRecord> operators() const;

    // Whether a replica in contact with a quorum sent a heartbeat within ConfirmationTimeout, and no such heartbeat ever
    // announced a version above the one in force.
    bool confirmed(TimePoint now) const;

private:
    std::uint64_t m_version = 0;
    nlohmann::json m_document;
    Bundle m_bundle;
    std::vector<OperatorRecord> m_operators;
    TimePoint m_lastQuorumContact;
    bool m_hadQuorumContact = false;
    std::uint64_t m_newestAnnounced = 0;
};

// The replica's side: tracks which version each subscribed balancer has in force.
class RolloutTracker
{
public:
    struct Subscriber {
        BalancerKey balancer;
        std::uint64_t version = 0;
        TimePoint reportedAt;
        bool connected = false;
    };

    void subscribe(TimePoint now, const Subscribe &subscribe);
    void report(TimePoint now, const VersionReport &report);
    void disconnect(BalancerId balancer);

    std::vector<Subscriber> subscribers() const;

    // Connected balancers that the rollout of a version includes, and how many of them have it in force.
    struct Progress {
        std::size_t inForce = 0;
        std::size_t expected = 0;
    };
    Progress progress(const BundleVersion &version) const;

private:
    std::map<BalancerId, Subscriber> m_subscribers;
};

} // namespace Robinrail
