// SPDX-License-Identifier: MIT
// Settings: the checked JSON files of the two daemons.
#pragma once

#include "balancer_context.h"
#include "bundle.h"
#include "control_command.h"
#include "log.h"
#include "loss_tolerance.h"
#include "secure_session.h"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace Robinrail {

enum class SettingsError {
    Unreadable,
    Invalid,
};

// Which file, and what is wrong in it.
struct SettingsFault {
    std::string file;
    JsonFault fault;

    std::string text() const;
};

struct ServiceListen {
    std::string service;
    Endpoint endpoint;
};

struct BalancerDaemonSettings {
    BalancerId balancer{};
    std::string dataCentre;
    DataCentreId dataCentreId{}; // Position in the list of declared data centres, from 1.
    std::vector<ServiceListen> services;
    Endpoint peerListen;
    Endpoint targetListen;
    Endpoint adminListen;
    std::vector<PeerAddress> peers;
    std::vector<Endpoint> control;
    ClusterKey clusterKey{};
    std::vector<VersionedMacKey> connectionIdKeys; // Newest first.
    std::string adminToken;
    std::filesystem::path dataFolder; // Empty: nothing is kept.
    Duration shutdownLinger = std::chrono::seconds(8);
    LogSettings log;
};

struct ReplicaAddress {
    ReplicaId id{};
    Endpoint endpoint;
    Endpoint admin;
};

struct ControlDaemonSettings {
    ReplicaId replica{};
    Endpoint listen;
    Endpoint adminListen;
    std::vector<ReplicaAddress> replicas;
    ClusterKey clusterKey{};
    std::string adminToken;
    std::filesystem::path dataFolder;
    std::vector<OperatorRecord> firstOperators; // Used at bootstrap only.
    LogSettings log;
};

// Settings of a steering balancer or of a routing replica; each is told a few addresses and finds the rest.
struct SteeringSettings {
    std::string node;
    std::string dataCentre;
    std::vector<std::string> dataCentres; // Sorted, so that every node numbers them alike.
    Endpoint adminListen;
    Endpoint packetListen; // Port 0: a replica, which takes no packets.
    std::vector<Endpoint> seeds; // Administration addresses of some replicas.
    std::uint16_t linkPort = 0; // Where every replica is dialled for links.
    std::uint16_t linkListenPort = 0; // Where this replica listens: another port if something forwards to it.
    bool firstStart = false; // The whole system starts for the first time, with empty disks.
    Duration announceInterval{}; // Targets announce themselves about this often.
    std::size_t maxLostReplicas = 0; // Replicas that may be lost at once, disks and all.
    std::size_t maxLostDataCentres = 0; // Data centres that may be lost at once, with all of their replicas.
    Duration drainTimeout{}; // A draining target must get no new flow after this.
    Duration stopGracePeriod{}; // From the request to stop to the kill.
    std::filesystem::path dataFolder; // Of a replica.
    LogSettings log;

    // What may be lost at once.
    LossTolerance lossTolerance() const;

    // Number of a data centre, from 1; 0 if it is not listed.
    DataCentreId dataCentreId(std::string_view name) const;
};

boost::leaf::result<BalancerDaemonSettings> loadBalancerSettings(const std::filesystem::path &path);
boost::leaf::result<ControlDaemonSettings> loadControlSettings(const std::filesystem::path &path);
boost::leaf::result<SteeringSettings> loadSteeringSettings(const std::filesystem::path &path);

// "127.0.0.1:80", and back; empty if it is not an IPv4 address with a port.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toText(Endpoint endpoint);
std::string addressText(Endpoint endpoint);

// A replica that is numbered by its address, by that address.
std::string toText(ReplicaId replica);

} // namespace Robinrail
