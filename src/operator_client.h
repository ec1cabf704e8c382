// SPDX-License-Identifier: MIT
// Operator client: signs and submits changes and reads state, on behalf of the `robinrail` command.
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
    BadConfig, // The client's configuration file is invalid.
    BadInput, // An argument, or a file named by one, is invalid.
    Unreachable, // No server responded in time.
    Refused, // The server refused the request; the response body gives the reason.
};

struct ClientErrorMessage {
    std::string text;
};

struct BalancerAddress {
    BalancerId id{};
    Endpoint admin;
};

// The client's configuration file: server addresses, admin token, and the operator's name and key file.
struct ClientConfig {
    std::vector<Endpoint> control;
    std::vector<BalancerAddress> balancers;
    std::string token;
    std::string operatorName;
    std::filesystem::path keyFile;
};

boost::leaf::result<ClientConfig> loadClientConfig(const std::filesystem::path &path);

// Key files hold the secret key as hex and are readable by their owner only. writeKeyFile() generates a key pair.
boost::leaf::result<PublicKey> writeKeyFile(const std::filesystem::path &path);
boost::leaf::result<SecretKey> readKeyFile(const std::filesystem::path &path);

ChangeId randomChangeId();

class OperatorClient
{
public:
    explicit OperatorClient(ClientConfig config);

    // Reads from the leader, trying the replicas in turn.
    boost::leaf::result<nlohmann::json> readControl(const std::string &path, const std::string &query = {});

    // Submits a signed change; retries with the same id until its outcome is known or the request times out.
    boost::leaf::result<nlohmann::json> submit(const nlohmann::json &signedChange);

    boost::leaf::result<nlohmann::json> callBalancer(
        const BalancerAddress &balancer, const std::string &method, const std::string &path, const std::string &query = {}, const std::string &body = {});

    boost::leaf::result<SignedChange> signWithConfiguredKey(Bytes content);

    const ClientConfig &config() const;

private:
    boost::leaf::result<nlohmann::json> callControl(const HttpRequest &request);

    ClientConfig m_config;
};

} // namespace Robinrail
