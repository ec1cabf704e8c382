// SPDX-License-Identifier: MIT
// Settings and bundles: every kind of bad input has a clear error that says where.
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

Json soundSettings()
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

Json soundSteeringSettings()
{
    return Json::parse(R"({
        "node": "edge-1", "dataCentre": "b", "dataCentres": ["c", "b"],
        "listen": {"admin": "127.0.0.1:8080", "packets": "127.0.0.1:5000"},
        "seeds": ["127.0.0.1:7000", "127.0.0.2:7000"], "linkPort": 7720, "firstStart": true,
        "announceIntervalMs": 770, "borneLosses": 1, "borneDataCentres": 1, "drainMs": 3000, "graceMs": 6000
    })");
}

// Loads a text by one of the loaders; the fault that this gives, empty if the text is sound.
template<typename Load>
std::string faultOfLoading(const std::string &text, Load load)
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

std::string faultOf(const std::string &text)
{
    return faultOfLoading(text, [](const std::string &path) -> leaf::result<void> {
        BOOST_LEAF_AUTO(file, loadBalancerSettings(path));
        CHECK(file.dataCentreId == DataCentreId{2});
        return {};
    });
}

std::string steeringFaultOf(const Json &settings)
{
    return faultOfLoading(settings.dump(), [](const std::string &path) -> leaf::result<void> {
        BOOST_LEAF_AUTO(file, loadSteeringSettings(path));
        // Numbered in the order of the names, whatever the order in the file.
        CHECK(file.dataCentreId(file.dataCentre) == DataCentreId{1});
        CHECK(file.seeds.size() == 2);
        CHECK(file.packetListen == Endpoint{0x7f000001, 5000});
        return {};
    });
}

std::string faultWith(const char *pointer, const Json &content)
{
    Json settings = soundSettings();
    settings[Json::json_pointer(pointer)] = content;
    return faultOf(settings.dump());
}

bool has(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

std::string bundleFault(const Json &bundle)
{
    JsonFault fault;
    return parseBundle(bundle.dump(), fault) ? std::string() : fault.text();
}

} // namespace

TEST_CASE("sound settings load")
{
    CHECK(faultOf(soundSettings().dump()).empty());
}

TEST_CASE("bad settings are refused with the place of the fault")
{
    CHECK(has(faultWith("/balancer", 0), "/balancer"));
    CHECK(has(faultWith("/balancer", "1"), "/balancer"));
    CHECK(has(faultWith("/balancer", 70000), "found 70000"));
    CHECK(has(faultWith("/dataCentre", "c"), "/dataCentre: found \"c\""));
    CHECK(has(faultWith("/services/0/listen", "localhost:1"), "/services/0/listen"));
    CHECK(has(faultWith("/listen/admin", "127.0.0.1:70000"), "/listen/admin"));
    CHECK(has(faultWith("/keys/cluster", "00"), "64 hexadecimal digits"));
    CHECK(has(faultWith("/keys/connectionIds/1", {{"version", 1}, {"key", "00000000000000000000000000000000"}}), "1 twice"));
    CHECK(has(faultWith("/peers/1", {{"balancer", 1}, {"address", "127.0.0.1:1"}}), "1 twice"));
    CHECK(has(faultWith("/unknown", 1), "unknown"));
    CHECK(has(faultWith("/adminToken", "short"), "/adminToken"));
}

TEST_CASE("settings of a steering node load, and bad ones are refused with the place of the fault")
{
    CHECK(steeringFaultOf(soundSteeringSettings()) == "");
    const auto faultWith = [](const char *pointer, const Json &content) {
        Json settings = soundSteeringSettings();
        settings[Json::json_pointer(pointer)] = content;
        return steeringFaultOf(settings);
    };
    CHECK(faultWith("/dataCentre", "z").find("/dataCentre") != std::string::npos);
    CHECK(faultWith("/listen/packets", "nowhere").find("/listen/packets") != std::string::npos);
    CHECK(faultWith("/seeds/1", "127.0.0.1").find("/seeds/1") != std::string::npos);
    CHECK(faultWith("/linkPort", 0).find("/linkPort") != std::string::npos);
    CHECK(faultWith("/borneDataCentres", -1).find("/borneDataCentres") != std::string::npos);
    CHECK(faultWith("/borneLosses", -1).find("/borneLosses") != std::string::npos);
    CHECK(faultWith("/unknown", 1) != "");
}

TEST_CASE("text that is no single JSON document, or repeats a key, is refused")
{
    CHECK(has(faultOf("{"), "no JSON"));
    CHECK(has(faultOf("{} {}"), "no JSON"));
    CHECK(has(faultOf(R"({"balancer": 1, "balancer": 2})"), "\"balancer\" twice"));
    CHECK(has(faultOf(""), "no JSON"));
}

TEST_CASE("bad bundles are refused with the place of the fault")
{
    Json bundle = Json::parse(R"({"formatVersion": 1, "dataCentres": [{"id": 1, "name": "a"}],
        "services": [{"id": 1, "name": "s"}], "policy": {"approvals": 1}})");
    CHECK(bundleFault(bundle).empty());
    Json changed = bundle;
    changed["services"].push_back({{"id", 1}, {"name", "t"}});
    CHECK(has(bundleFault(changed), "1 twice"));
    changed = bundle;
    changed["services"][0]["retryRatio"] = 2;
    CHECK(has(bundleFault(changed), "/services/0/retryRatio"));
    changed = bundle;
    changed["policy"]["approvals"] = 0;
    CHECK(has(bundleFault(changed), "/policy/approvals"));
    changed = bundle;
    changed["formatVersion"] = 2;
    CHECK(has(bundleFault(changed), "/formatVersion"));
}

TEST_CASE("a session is established only between holders of the key, and frames can't be played again")
{
    const ClusterKey key{1};
    const auto meet = [](const ClusterKey &one, const ClusterKey &other) {
        SecureSession dialler(one, PeerRole::Balancer, 1, true);
        SecureSession acceptor(other, PeerRole::Control, 2, false);
        const bool helloes = dialler.receive(acceptor.hello()) == SecureSession::Event::SendProof
            && acceptor.receive(dialler.hello()) == SecureSession::Event::SendProof;
        return helloes && dialler.receive(acceptor.proof()) == SecureSession::Event::Established
            && acceptor.receive(dialler.proof()) == SecureSession::Event::Established;
    };
    CHECK(meet(key, key));
    CHECK_FALSE(meet(key, {2}));

    SecureSession dialler(key, PeerRole::Balancer, 1, true);
    SecureSession acceptor(key, PeerRole::Control, 2, false);
    dialler.receive(acceptor.hello());
    acceptor.receive(dialler.hello());
    const Bytes proof = dialler.proof();
    CHECK(acceptor.receive(proof) == SecureSession::Event::Established);
    CHECK(acceptor.peer().id == 1);
    const Bytes frame = dialler.seal(Bytes{1, 2});
    CHECK(acceptor.receive(frame) == SecureSession::Event::Payload);
    CHECK(acceptor.payload() == Bytes{1, 2});
    CHECK(acceptor.receive(frame) == SecureSession::Event::Failed);
    SecureSession reflected(key, PeerRole::Balancer, 1, true);
    reflected.receive(reflected.hello());
    CHECK(reflected.receive(reflected.proof()) == SecureSession::Event::Failed);
}
