// SPDX-License-Identifier: MIT
// Settings: the JSON settings files of the daemons, validated on load.
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

// The rejected file and the first error in it.
struct SettingsFault {
    std::string file;
    JsonError fault;

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
    std::filesystem::path dataFolder; // Empty: nothing is stored.
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

// Settings of a steering balancer or routing replica. It knows a few replicas by address (the seeds) and discovers the others.
struct SteeringSettings {
    std::string node;
    std::string dataCentre;
    std::vector<std::string> dataCentres; // Sorted, so that all nodes assign the same numbers.
    Endpoint adminListen;
    Endpoint packetListen; // Port 0: a replica, which receives no packets.
    std::vector<Endpoint> seeds; // Administration addresses of some replicas.
    std::uint16_t linkPort = 0; // Port to which links to any replica are opened.
    std::uint16_t linkListenPort = 0; // Port on which this replica accepts links; differs from linkPort if a forwarder is in between.
    bool firstStart = false; // Whether the whole system starts for the first time, with empty disks.
    Duration announceInterval{}; // Approximate interval between the announcements of a target.
    std::size_t maxLostReplicas = 0; // Replicas that may fail at the same time and lose their disks.
    std::size_t maxLostDataCentres = 0; // Data centres that may fail at the same time, with all their replicas.
    double linkBytesPerSecond = 0; // Capacity of the VM's network link in each direction; 0: not known.
    Duration drainTimeout{}; // Time after which a draining target must not get new flows.
    Duration stopGracePeriod{}; // Time from the stop request until the process is killed.
    std::filesystem::path dataFolder; // Used by replicas only.
    LogSettings log;

    // The simultaneous failures that the deployment has to survive.
    LossTolerance lossTolerance() const;

    // Number of a data centre, from 1; 0 if it is not listed.
    DataCentreId dataCentreId(std::string_view name) const;
};

boost::leaf::result<BalancerDaemonSettings> loadBalancerSettings(const std::filesystem::path &path);
boost::leaf::result<ControlDaemonSettings> loadControlSettings(const std::filesystem::path &path);
boost::leaf::result<SteeringSettings> loadSteeringSettings(const std::filesystem::path &path);

// Convert between an endpoint and text such as "127.0.0.1:80". The result of parseEndpoint is empty if the text is not an
// IPv4 address with a port.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toText(Endpoint endpoint);
std::string addressText(Endpoint endpoint);

// IPv4 address of a replica whose number is its address.
std::string toText(ReplicaId replica);

} // namespace Robinrail
