// SPDX-License-Identifier: MIT
// Balancer context: state shared by the engines of one balancer, and the outbox that they send through.
#pragma once

#include "connection_id.h"
#include "event.h"
#include "flow_table.h"
#include "peer_table.h"
#include "target_table.h"

#include <array>
#include <functional>
#include <string>

namespace Robinrail {

// Settings of one service, from the configuration bundle.
struct ServiceSettings {
    ServiceId id{};
    std::string name;
    Duration maxQueueDelay = std::chrono::milliseconds(250); // A request that would wait longer is refused at once.
    double retryRatio = 0.2; // Retries per request in the long run.
};

// Startup settings of a balancer.
struct BalancerSettings {
    BalancerKey self;
    DataCentreId dataCentre{};
    std::vector<PeerAddress> peers;
    std::vector<VersionedMacKey> connectionIdKeys;
};

// A datagram to send.
struct Outgoing {
    Endpoint to;
    Message message;
};

// Totals since the process started.
struct Counters {
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsAdopted = 0;
    std::uint64_t flowsHandedOver = 0;
    std::uint64_t flowsReceived = 0;
    std::uint64_t packetsRelayed = 0;
    std::uint64_t requestsAccepted = 0;
    std::uint64_t duplicatesDropped = 0;
    std::uint64_t attemptsSent = 0;
    std::uint64_t attemptsRefused = 0;
    std::uint64_t attemptsOffloaded = 0;
    std::uint64_t retries = 0;
    std::uint64_t feedItems = 0;
    std::uint64_t feedResyncs = 0;
    std::uint64_t feedRebinds = 0;
    std::array<std::uint64_t, 4> outcomes{}; // By Outcome.
    std::array<std::uint64_t, RejectReasonCount> rejected{}; // By RejectReason.
};

// Shared by the engines of one balancer. The engines write messages to the outbox, and the daemon,
// test or benchmark that drives them takes them from there.
struct BalancerContext {
    explicit BalancerContext(const BalancerSettings &settings)
        : sealer(settings.connectionIdKeys)
        , peers(settings.self, settings.dataCentre, settings.peers)
    {
    }

    ConnectionIdSealer sealer;
    TargetTable targets;
    PeerTable peers;
    FlowTable flows;
    std::vector<Outgoing> outbox;
    Counters counters;
    std::function<void(const Event &)> observer; // May be empty.
    std::uint64_t lastSerial = 0; // Last serial number given to an attempt, attachment or flow.
    std::uint64_t bundleVersion = 0;

    void send(Endpoint to, Message message)
    {
        outbox.push_back({to, std::move(message)});
    }

    void observe(const Event &event) const
    {
        if (observer) {
            observer(event);
        }
    }

    void reject(TimePoint now, RejectReason reason)
    {
        ++counters.rejected[static_cast<std::size_t>(reason)];
        observe({.kind = EventKind::PacketRejected, .at = now, .detail = static_cast<std::uint8_t>(reason)});
    }

    AttemptKey nextAttempt()
    {
        return {peers.self(), ++lastSerial};
    }

    // The sealed id of a flow that this balancer owns.
    SealedConnectionId sealConnectionId(FlowId id, const Flow &flow) const
    {
        return sealer.seal({flow.service, flow.target, peers.self(), id});
    }
};

} // namespace Robinrail
