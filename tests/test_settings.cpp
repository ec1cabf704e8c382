// SPDX-License-Identifier: MIT
// Tests that invalid settings and bundles are rejected with an error that names the location, and tests of secure sessions.
#include "bundle.h"
#include "secure_session.h"
#include "settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <unistd.h>

using namespace Robinrail;
using Json = nlohmann::json;
namespace leaf = boost::leaf;

namespace {

Json validSettings()
{
    return Json::parse(R"({
        "balancer": 1,
        "dataCentres": ["a", "b"],
        "dataCentre": "b",
        "services": [{"name": "s", "listen": "127.0.0.1:4001"}],
        "listen": {"peers": "127.0.0.1:5000", "targets": "127.0.0.1:5001", "admin": "127.0.0.1:8080"},
        "peers": [{"balancer": 1, "address": "127.0.0.1:5000"}],
        "control": ["127.0.0.1:7000"],
        "keys": {
            "cluster": "0000000000000000000000000000000000000000000000000000000000000000",
            "connectionIds": [{"version": 1, "key": "00000000000000000000000000000000"}]
        },
        "adminToken": "0123456789abcdef"
    })");
}

Json validSteeringSettings()
{
    return Json::parse(R"({
        "node": "edge-1", "dataCentre": "b", "dataCentres": ["c", "b"],
        "listen": {"admin": "127.0.0.1:8080", "packets": "127.0.0.1:5000"},
        "seeds": ["127.0.0.1:7000", "127.0.0.2:7000"], "linkPort": 7720, "firstStart": true,
        "announceIntervalMs": 770, "borneLosses": 1, "borneDataCentres": 1, "drainMs": 3000, "graceMs": 6000
    })");
}

// Writes the text to a file and loads it with `load`. Returns the error, or an empty string if the text is valid.
template<typename Load>
std::string loadError(const std::string &text, Load load)
{
    std::string path = (std::filesystem::temp_directory_path() / "robinrail-settings-XXXXXX").string();
    const int descriptor = ::mkstemp(path.data());
    ::close(descriptor);
    std::ofstream(path) << text;
    const std::string fault = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(load(path));
            return std::string();
        },
        [](const SettingsFault &found) {
            return found.fault.text();
        },
        [] {
            return std::string("unexpected error");
        });
    std::filesystem::remove(path);
    return fault;
}

std::string settingsError(const std::string &text)
{
    return loadError(text, [](const std::string &path) -> leaf::result<void> {
        BOOST_LEAF_AUTO(file, loadBalancerSettings(path));
        CHECK(file.dataCentreId == DataCentreId{2});
        return {};
    });
}

std::string steeringSettingsError(const Json &settings)
{
    return loadError(settings.dump(), [](const std::string &path) -> leaf::result<void> {
        BOOST_LEAF_AUTO(file, loadSteeringSettings(path));
        // Data centres are numbered in alphabetical order, independent of their order in the file.
        CHECK(file.dataCentreId(file.dataCentre) == DataCentreId{1});
        CHECK(file.seeds.size() == 2);
        CHECK(file.packetListen == Endpoint{0x7f000001, 5000});
        return {};
    });
}

std::string errorWith(const char *pointer, const Json &content)
{
    Json settings = validSettings();
    settings[Json::json_pointer(pointer)] = content;
    return settingsError(settings.dump());
}

bool contains(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

std::string bundleError(const Json &bundle)
{
    JsonError fault;
    return parseBundle(bundle.dump(), fault) ? std::string() : fault.text();
}

} // namespace

TEST_CASE("valid settings are loaded")
{
    CHECK(settingsError(validSettings().dump()).empty());
}

TEST_CASE("invalid settings are rejected with the location of the error")
{
    CHECK(contains(errorWith("/balancer", 0), "/balancer"));
    CHECK(contains(errorWith("/balancer", "1"), "/balancer"));
    CHECK(contains(errorWith("/balancer", 70000), "found 70000"));
    CHECK(contains(errorWith("/dataCentre", "c"), "/dataCentre: found \"c\""));
    CHECK(contains(errorWith("/services/0/listen", "localhost:1"), "/services/0/listen"));
    CHECK(contains(errorWith("/listen/admin", "127.0.0.1:70000"), "/listen/admin"));
    CHECK(contains(errorWith("/keys/cluster", "00"), "64 hexadecimal digits"));
    CHECK(contains(errorWith("/keys/connectionIds/1", {{"version", 1}, {"key", "00000000000000000000000000000000"}}), "1 twice"));
    CHECK(contains(errorWith("/peers/1", {{"balancer", 1}, {"address", "127.0.0.1:1"}}), "1 twice"));
    CHECK(contains(errorWith("/unknown", 1), "unknown"));
    CHECK(contains(errorWith("/adminToken", "short"), "/adminToken"));
}

TEST_CASE("steering settings are loaded, and invalid ones are rejected with the location of the error")
{
    CHECK(steeringSettingsError(validSteeringSettings()) == "");
    const auto errorWith = [](const char *pointer, const Json &content) {
        Json settings = validSteeringSettings();
        settings[Json::json_pointer(pointer)] = content;
        return steeringSettingsError(settings);
    };
    CHECK(errorWith("/dataCentre", "z").find("/dataCentre") != std::string::npos);
    CHECK(errorWith("/listen/packets", "nowhere").find("/listen/packets") != std::string::npos);
    CHECK(errorWith("/seeds/1", "127.0.0.1").find("/seeds/1") != std::string::npos);
    CHECK(errorWith("/linkPort", 0).find("/linkPort") != std::string::npos);
    CHECK(errorWith("/borneDataCentres", -1).find("/borneDataCentres") != std::string::npos);
    CHECK(errorWith("/borneLosses", -1).find("/borneLosses") != std::string::npos);
    CHECK(errorWith("/unknown", 1) != "");
}

TEST_CASE("text that is not a single JSON document, or repeats a key, is rejected")
{
    CHECK(contains(settingsError("{"), "no JSON"));
    CHECK(contains(settingsError("{} {}"), "no JSON"));
    CHECK(contains(settingsError(R"({"balancer": 1, "balancer": 2})"), "\"balancer\" twice"));
    CHECK(contains(settingsError(""), "no JSON"));
}

TEST_CASE("invalid bundles are rejected with the location of the error")
{
    Json bundle = Json::parse(R"({"formatVersion": 1, "dataCentres": [{"id": 1, "name": "a"}],
        "services": [{"id": 1, "name": "s"}], "policy": {"approvals": 1}})");
    CHECK(bundleError(bundle).empty());
    Json changed = bundle;
    changed["services"].push_back({{"id", 1}, {"name", "t"}});
    CHECK(contains(bundleError(changed), "1 twice"));
    changed = bundle;
    changed["services"][0]["retryRatio"] = 2;
    CHECK(contains(bundleError(changed), "/services/0/retryRatio"));
    changed = bundle;
    changed["policy"]["approvals"] = 0;
    CHECK(contains(bundleError(changed), "/policy/approvals"));
    changed = bundle;
    changed["formatVersion"] = 2;
    CHECK(contains(bundleError(changed), "/formatVersion"));
}

TEST_CASE("a session is established only between holders of the key, and replayed frames are rejected")
{
    const ClusterKey key{1};
    const auto canConnect = [](const ClusterKey &one, const ClusterKey &other) {
        SecureSession initiator(one, PeerRole::Balancer, 1, true);
        SecureSession acceptor(other, PeerRole::Control, 2, false);
        const bool hellosAccepted = initiator.receive(acceptor.hello()) == SecureSession::Event::SendProof
            && acceptor.receive(initiator.hello()) == SecureSession::Event::SendProof;
        return hellosAccepted && initiator.receive(acceptor.proof()) == SecureSession::Event::Established
            && acceptor.receive(initiator.proof()) == SecureSession::Event::Established;
    };
    CHECK(canConnect(key, key));
    CHECK_FALSE(canConnect(key, {2}));

    SecureSession initiator(key, PeerRole::Balancer, 1, true);
    SecureSession acceptor(key, PeerRole::Control, 2, false);
    initiator.receive(acceptor.hello());
    acceptor.receive(initiator.hello());
    const Bytes proof = initiator.proof();
    CHECK(acceptor.receive(proof) == SecureSession::Event::Established);
    CHECK(acceptor.peer().id == 1);
    const Bytes frame = initiator.seal(Bytes{1, 2});
    CHECK(acceptor.receive(frame) == SecureSession::Event::Payload);
    CHECK(acceptor.payload() == Bytes{1, 2});
    CHECK(acceptor.receive(frame) == SecureSession::Event::Failed);
    SecureSession reflected(key, PeerRole::Balancer, 1, true);
    reflected.receive(reflected.hello());
    CHECK(reflected.receive(reflected.proof()) == SecureSession::Event::Failed);
}
