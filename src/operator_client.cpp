// SPDX-License-Identifier: MIT
// Operator client: implementation.
#include "operator_client.h"

#include "api_json.h"
#include "bundle.h"
#include "durable_file.h"
#include "json_schema.h"
#include "settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <sodium.h>

#include <algorithm>
#include <thread>

namespace Robinrail {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds CallTimeout{2500};
constexpr std::chrono::milliseconds RetryInterval{100};

// Covers an election and several calls that time out.
constexpr std::chrono::seconds ControlTimeout{15};

constexpr unsigned HttpUnavailable = 503;
constexpr unsigned HttpFirstErrorStatus = 400;

leaf::error_id makeError(ClientError error, std::string text)
{
    return leaf::new_error(error, ClientErrorMessage{std::move(text)});
}

leaf::result<std::string> readText(const std::filesystem::path &path)
{
    return leaf::try_handle_some(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(bytes, readFile(path));
            if (!bytes) {
                return makeError(ClientError::BadInput, path.string() + ": file not found");
            }
            return std::string(bytes->begin(), bytes->end());
        },
        [&](FileError) -> leaf::result<std::string> {
            return makeError(ClientError::BadInput, path.string() + ": cannot be read");
        });
}

} // namespace

leaf::result<ClientConfig> loadClientConfig(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(text, readText(path));
    JsonError jsonError;
    const std::optional<Json> document = parseStrictJson(text, jsonError);
    if (!document) {
        return makeError(ClientError::BadConfig, path.string() + ": " + jsonError.text());
    }
    try {
        ClientConfig config;
        for (const Json &entry : document->at("control")) {
            config.control.push_back(parseEndpoint(entry.get<std::string>()).value());
        }
        for (const Json &entry : document->at("balancers")) {
            config.balancers.push_back({BalancerId{entry.at("balancer").get<std::uint16_t>()}, parseEndpoint(entry.at("admin").get<std::string>()).value()});
        }
        config.token = document->at("token").get<std::string>();
        config.operatorName = document->value("operator", "");
        config.keyFile = document->value("keyFile", "");
        return config;
    } catch (const std::exception &error) {
        return makeError(ClientError::BadConfig, path.string() + ": " + error.what());
    }
}

leaf::result<PublicKey> writeKeyFile(const std::filesystem::path &path)
{
    if (std::filesystem::exists(path)) {
        return makeError(ClientError::BadInput, path.string() + ": file exists already");
    }
    const KeyPair pair = generateKeyPair();
    const std::string text = toHex(pair.secretKey) + "\n";
    return leaf::try_handle_some(
        [&]() -> leaf::result<PublicKey> {
            BOOST_LEAF_CHECK(replaceFile(std::filesystem::absolute(path), {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()}));
            return pair.publicKey;
        },
        [&](FileError) -> leaf::result<PublicKey> {
            return makeError(ClientError::BadInput, path.string() + ": cannot be written");
        });
}

leaf::result<SecretKey> readKeyFile(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(text, readText(path));
    while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
        text.pop_back();
    }
    SecretKey key{};
    if (!fromHex(text, key)) {
        return makeError(ClientError::BadInput, path.string() + ": not a key file; expected 128 hexadecimal digits");
    }
    return key;
}

ChangeId randomChangeId()
{
    ChangeId id{};
    randombytes_buf(id.data(), id.size());
    return id;
}

OperatorClient::OperatorClient(ClientConfig config)
    : m_config(std::move(config))
{
}

const ClientConfig &OperatorClient::config() const
{
    return m_config;
}

leaf::result<Json> OperatorClient::readControl(const std::string &path, const std::string &query)
{
    return callControl({"GET", path, query, m_config.token, {}});
}

leaf::result<Json> OperatorClient::submit(const Json &signedChange)
{
    return callControl({"POST", "/v1/changes", {}, m_config.token, signedChange.dump()});
}

// Retries on "not leader" and "outcome unknown" alike, which is safe as a read has no effect and a change is
// idempotent by its id.
leaf::result<Json> OperatorClient::callControl(const HttpRequest &request)
{
    const auto deadline = std::chrono::steady_clock::now() + ControlTimeout;
    std::string lastError = "no control replica responded";
    while (std::chrono::steady_clock::now() < deadline) {
        for (const Endpoint &endpoint : m_config.control) {
            const std::optional<HttpResponse> response = sendHttpRequest(endpoint, request, CallTimeout);
            if (!response || response->status == HttpUnavailable) {
                lastError = response ? response->body : lastError;
                continue;
            }
            if (response->status >= HttpFirstErrorStatus) {
                return makeError(ClientError::Refused, response->body);
            }
            return parseJsonResponse(response->body).value_or(Json(Json::value_t::discarded));
        }
        std::this_thread::sleep_for(RetryInterval);
    }
    return makeError(ClientError::Unreachable, lastError);
}

leaf::result<Json> OperatorClient::callBalancer(
    const BalancerAddress &balancer, const std::string &method, const std::string &path, const std::string &query, const std::string &body)
{
    const std::optional<HttpResponse> response = sendHttpRequest(balancer.admin, {method, path, query, m_config.token, body}, CallTimeout);
    if (!response) {
        return makeError(ClientError::Unreachable, "balancer " + std::to_string(value(balancer.id)) + " did not respond");
    }
    if (response->status >= HttpFirstErrorStatus) {
        return makeError(ClientError::Refused, response->body);
    }
    return parseJsonResponse(response->body).value_or(Json(Json::value_t::discarded));
}

leaf::result<SignedChange> OperatorClient::signWithConfiguredKey(Bytes content)
{
    BOOST_LEAF_AUTO(key, readKeyFile(m_config.keyFile));
    return signContent(randomChangeId(), m_config.operatorName, std::move(content), key);
}

} // namespace Robinrail
