// SPDX-License-Identifier: MIT
// Settings: the checked JSON files of the two daemons.
#pragma once

#include "balancer_context.h"
#include "bundle.h"
#include "control_command.h"
#include "log.h"
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

struct BalancerFile {
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
    Duration linger = std::chrono::seconds(8);
    LogSettings log;
};

struct ReplicaAddress {
    ReplicaId id{};
    Endpoint endpoint;
    Endpoint admin;
};

struct ControlFile {
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

boost::leaf::result<BalancerFile> loadBalancerFile(const std::filesystem::path &path);
boost::leaf::result<ControlFile> loadControlFile(const std::filesystem::path &path);

// "127.0.0.1:80", and back; empty if it is not an IPv4 address with a port.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toText(Endpoint endpoint);
std::string addressText(Endpoint endpoint);

} // namespace Robinrail
