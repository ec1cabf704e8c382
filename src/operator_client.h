// SPDX-License-Identifier: MIT
// Operator client: finds the leader, signs changes and reads the state for the operator's command.
#pragma once

#include "control_command.h"
#include "http.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace Robinrail {

enum class ClientError {
    BadConfig, // The client's own file is wrong.
    BadInput, // An argument or a file named by one is wrong.
    Unreachable, // No server could be reached in time.
    Refused, // The server refused; the body says why.
};

struct ClientErrorMessage {
    std::string text;
};

struct BalancerAddress {
    BalancerId id{};
    Endpoint admin;
};

// The client's file: where the servers are, the token, and the operator's name and key file.
struct ClientConfig {
    std::vector<Endpoint> control;
    std::vector<BalancerAddress> balancers;
    std::string token;
    std::string operatorName;
    std::filesystem::path keyFile;
};

boost::leaf::result<ClientConfig> loadClientConfig(const std::filesystem::path &path);

// Keys are kept as hex in a file that only its owner can read.
boost::leaf::result<PublicKey> writeKeyFile(const std::filesystem::path &path);
boost::leaf::result<SecretKey> readKeyFile(const std::filesystem::path &path);

ChangeId randomChangeId();

class OperatorClient
{
public:
    explicit OperatorClient(ClientConfig config);

    // Reads from the leader, trying the replicas in turn until one answers.
    boost::leaf::result<nlohmann::json> readControl(const std::string &path, const std::string &query = {});

    // Sends a signed change, again and again with the same id, until its outcome is known.
    boost::leaf::result<nlohmann::json> submit(const nlohmann::json &signedChange);

    boost::leaf::result<nlohmann::json> callBalancer(
        const BalancerAddress &balancer, const std::string &method, const std::string &path, const std::string &query = {}, const std::string &body = {});

    // Signs with the configured key.
    boost::leaf::result<SignedChange> signWithConfiguredKey(Bytes content);

    const ClientConfig &config() const;

private:
    boost::leaf::result<nlohmann::json> callControl(const HttpRequest &request);

    ClientConfig m_config;
};

} // namespace Robinrail
