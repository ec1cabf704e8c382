// SPDX-License-Identifier: MIT
// Rollout: how a committed bundle version reaches a balancer, and how the balancer takes it.
#pragma once

#include "bundle.h"
#include "control_state.h"
#include "link_message.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Robinrail {

// A replica tells its subscribers this often how things stand.
inline constexpr Duration ControlHeartbeatInterval = std::chrono::seconds(1);

// Without a replica in contact with a quorum for this long, a balancer calls its version unconfirmed.
inline constexpr Duration ConfirmationTimeout = std::chrono::seconds(3);

// Makes the offer that brings a balancer from version `from` to `to`: a patch if that is shorter.
BundleOffer makeOffer(const BundleVersion *from, const BundleVersion &to, std::span<const OperatorRecord> operators);

enum class OfferResult : std::uint8_t {
    Applied,
    NotNewer, // Of the version in force or below: nothing ever goes back.
    BaseMismatch, // The patch is for another base; ask for the whole.
    Damaged, // The document is malformed or has another digest; nothing was changed.
};

// A balancer's side: the document in force, applied whole or not at all, and only upward.
class RolloutAgent
{
public:
    // Starts from what was kept on disk, if anything; the text must be a sound bundle.
    bool restore(std::uint64_t version, std::string_view text);

    OfferResult applyOffer(const BundleOffer &offer);
    void handleHeartbeat(TimePoint now, const ControlBeat &beat);

    std::uint64_t version() const;
    const Bundle &bundle() const;
    std::string text() const;
    std::span<const OperatorRecord> operators() const;

    // Whether a replica in contact with a quorum has lately named a version not above the one in force.
    bool confirmed(TimePoint now) const;

private:
    std::uint64_t m_version = 0;
    nlohmann::json m_document;
    Bundle m_bundle;
    std::vector<OperatorRecord> m_operators;
    TimePoint m_lastContact;
    bool m_everContact = false;
    std::uint64_t m_newestNamed = 0;
};

// A replica's side: which subscriber has which version.
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

    // How many connected balancers that may have `version` have it, of how many.
    struct Progress {
        std::size_t inForce = 0;
        std::size_t expected = 0;
    };
    Progress progress(const BundleVersion &version) const;

private:
    std::map<BalancerId, Subscriber> m_subscribers;
};

} // namespace Robinrail
