// SPDX-License-Identifier: MIT
// Settings: a file is validated against its schema, then against the rules that a schema can't express.
#include "settings.h"

#include "durable_file.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace Robinrail {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

leaf::error_id invalid(const std::filesystem::path &path, JsonError fault)
{
    return leaf::new_error(SettingsError::Invalid, SettingsFault{path.string(), std::move(fault)});
}

leaf::result<Json> loadDocument(const std::filesystem::path &path, std::string_view schema)
{
    BOOST_LEAF_AUTO(bytes,
                    leaf::try_handle_some(
                        [&] {
                            return readFile(path);
                        },
                        [&](FileError) -> leaf::result<std::optional<Bytes>> {
                            return std::optional<Bytes>();
                        }));
    if (!bytes) {
        return leaf::new_error(SettingsError::Unreadable, SettingsFault{path.string(), {"", "no readable file", "a settings file"}});
    }
    JsonError fault;
    const std::optional<Json> document = parseStrictJson({reinterpret_cast<const char *>(bytes->data()), bytes->size()}, fault);
    if (!document || !JsonSchema(schema).matches(*document, fault)) {
        return invalid(path, std::move(fault));
    }
    return *document;
}

// Extracts values from a document that matches its schema, and keeps the first error.
class SettingsReader
{
public:
    explicit SettingsReader(const Json &document)
        : m_document(document)
    {
    }

    const Json &at(const std::string &pointer) const
    {
        return m_document.at(Json::json_pointer(pointer));
    }

    Endpoint endpoint(const std::string &pointer)
    {
        const std::optional<Endpoint> parsed = parseEndpoint(at(pointer).get<std::string>());
        if (!parsed) {
            fail(pointer, at(pointer).dump(), "an IPv4 address and port such as \"127.0.0.1:4000\"");
        }
        return parsed.value_or(Endpoint{});
    }

    template<std::size_t N>
    std::array<std::uint8_t, N> key(const std::string &pointer)
    {
        std::array<std::uint8_t, N> bytes{};
        if (!fromHex(at(pointer).get<std::string>(), bytes)) {
            fail(pointer, "a string that is not a key", std::to_string(N * 2) + " hexadecimal digits");
        }
        return bytes;
    }

    void fail(const std::string &pointer, std::string found, std::string expected)
    {
        if (!m_fault) {
            m_fault = JsonError{pointer, std::move(found), std::move(expected)};
        }
    }

    const std::optional<JsonError> &fault() const
    {
        return m_fault;
    }

private:
    const Json &m_document;
    std::optional<JsonError> m_fault;
};

std::string elementPointer(const char *list, std::size_t index, const char *key)
{
    return std::string(list) + "/" + std::to_string(index) + "/" + key;
}

LogSettings readLogSettings(const Json &document)
{
    LogSettings log;
    if (!document.contains("log")) {
        return log;
    }
    const std::string level = document["log"].value("level", "info");
    log.level = level == "debug" ? LogLevel::Debug : level == "warning" ? LogLevel::Warning : level == "error" ? LogLevel::Error : LogLevel::Info;
    log.file = document["log"].value("file", "");
    return log;
}

void readDataCentre(SettingsReader &reader, BalancerDaemonSettings &settings)
{
    const auto declared = reader.at("/dataCentres").get<std::vector<std::string>>();
    settings.dataCentre = reader.at("/dataCentre").get<std::string>();
    const auto at = std::find(declared.begin(), declared.end(), settings.dataCentre);
    if (at == declared.end()) {
        reader.fail("/dataCentre", "\"" + settings.dataCentre + "\"", "one of the data centres in /dataCentres");
    }
    settings.dataCentreId = DataCentreId{static_cast<std::uint8_t>(at - declared.begin() + 1)};
}

void readPeers(SettingsReader &reader, BalancerDaemonSettings &settings)
{
    std::set<BalancerId> seen;
    for (std::size_t i = 0; i < reader.at("/peers").size(); ++i) {
        PeerAddress peer;
        peer.id = BalancerId{reader.at(elementPointer("/peers", i, "balancer")).get<std::uint16_t>()};
        peer.endpoint = reader.endpoint(elementPointer("/peers", i, "address"));
        if (!seen.insert(peer.id).second) {
            reader.fail(elementPointer("/peers", i, "balancer"), std::to_string(value(peer.id)) + " twice", "each balancer once");
        }
        settings.peers.push_back(peer);
    }
}

void readConnectionIdKeys(SettingsReader &reader, BalancerDaemonSettings &settings)
{
    std::set<std::uint8_t> seen;
    for (std::size_t i = 0; i < reader.at("/keys/connectionIds").size(); ++i) {
        VersionedMacKey key;
        key.version = reader.at(elementPointer("/keys/connectionIds", i, "version")).get<std::uint8_t>();
        key.key = reader.key<16>(elementPointer("/keys/connectionIds", i, "key"));
        if (!seen.insert(key.version).second) {
            reader.fail(elementPointer("/keys/connectionIds", i, "version"), std::to_string(key.version) + " twice", "each key version once");
        }
        settings.connectionIdKeys.push_back(key);
    }
}

} // namespace

std::string SettingsFault::text() const
{
    return file + ": " + fault.text();
}

leaf::result<BalancerDaemonSettings> loadBalancerSettings(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(document, loadDocument(path, balancerSettingsSchema()));
    SettingsReader reader(document);
    BalancerDaemonSettings settings;
    settings.balancer = BalancerId{reader.at("/balancer").get<std::uint16_t>()};
    readDataCentre(reader, settings);
    for (std::size_t i = 0; i < reader.at("/services").size(); ++i) {
        settings.services.push_back(
            {reader.at(elementPointer("/services", i, "name")).get<std::string>(), reader.endpoint(elementPointer("/services", i, "listen"))});
    }
    settings.peerListen = reader.endpoint("/listen/peers");
    settings.targetListen = reader.endpoint("/listen/targets");
    settings.adminListen = reader.endpoint("/listen/admin");
    readPeers(reader, settings);
    for (std::size_t i = 0; i < reader.at("/control").size(); ++i) {
        settings.control.push_back(reader.endpoint("/control/" + std::to_string(i)));
    }
    settings.clusterKey = reader.key<32>("/keys/cluster");
    readConnectionIdKeys(reader, settings);
    settings.adminToken = reader.at("/adminToken").get<std::string>();
    settings.dataFolder = document.value("dataFolder", "");
    settings.shutdownLinger = std::chrono::milliseconds(document.value("lingerMs", 8000));
    settings.log = readLogSettings(document);
    if (reader.fault()) {
        return invalid(path, *reader.fault());
    }
    return settings;
}

leaf::result<ControlDaemonSettings> loadControlSettings(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(document, loadDocument(path, controlSettingsSchema()));
    SettingsReader reader(document);
    ControlDaemonSettings settings;
    settings.replica = ReplicaId{reader.at("/replica").get<std::uint16_t>()};
    settings.listen = reader.endpoint("/listen/links");
    settings.adminListen = reader.endpoint("/listen/admin");
    bool listsItself = false;
    for (std::size_t i = 0; i < reader.at("/replicas").size(); ++i) {
        ReplicaAddress address;
        address.id = ReplicaId{reader.at(elementPointer("/replicas", i, "replica")).get<std::uint16_t>()};
        address.endpoint = reader.endpoint(elementPointer("/replicas", i, "links"));
        address.admin = reader.endpoint(elementPointer("/replicas", i, "admin"));
        listsItself = listsItself || address.id == settings.replica;
        settings.replicas.push_back(address);
    }
    if (!listsItself) {
        reader.fail("/replica", std::to_string(value(settings.replica)), "one of the replicas in /replicas");
    }
    settings.clusterKey = reader.key<32>("/keys/cluster");
    settings.adminToken = reader.at("/adminToken").get<std::string>();
    settings.dataFolder = reader.at("/dataFolder").get<std::string>();
    for (std::size_t i = 0; i < reader.at("/firstOperators").size(); ++i) {
        OperatorRecord record;
        record.name = reader.at(elementPointer("/firstOperators", i, "name")).get<std::string>();
        record.key = reader.key<32>(elementPointer("/firstOperators", i, "key"));
        const bool administrator = reader.at(elementPointer("/firstOperators", i, "role")).get<std::string>() == "administrator";
        record.role = administrator ? OperatorRole::Administrator : OperatorRole::Author;
        settings.firstOperators.push_back(record);
    }
    settings.log = readLogSettings(document);
    if (reader.fault()) {
        return invalid(path, *reader.fault());
    }
    return settings;
}

DataCentreId SteeringSettings::dataCentreId(std::string_view name) const
{
    const auto at = std::find(dataCentres.begin(), dataCentres.end(), name);
    return DataCentreId{static_cast<std::uint8_t>(at == dataCentres.end() ? 0 : at - dataCentres.begin() + 1)};
}

LossTolerance SteeringSettings::lossTolerance() const
{
    return {maxLostReplicas, maxLostDataCentres};
}

leaf::result<SteeringSettings> loadSteeringSettings(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(document, loadDocument(path, steeringSettingsSchema()));
    SettingsReader reader(document);
    SteeringSettings settings;
    settings.node = reader.at("/node").get<std::string>();
    settings.dataCentre = reader.at("/dataCentre").get<std::string>();
    settings.dataCentres = reader.at("/dataCentres").get<std::vector<std::string>>();
    std::sort(settings.dataCentres.begin(), settings.dataCentres.end());
    if (value(settings.dataCentreId(settings.dataCentre)) == 0) {
        reader.fail("/dataCentre", settings.dataCentre, "one of the names in /dataCentres");
    }
    settings.adminListen = reader.endpoint("/listen/admin");
    if (reader.at("/listen").contains("packets")) {
        settings.packetListen = reader.endpoint("/listen/packets");
    }
    for (std::size_t i = 0; i < reader.at("/seeds").size(); ++i) {
        settings.seeds.push_back(reader.endpoint("/seeds/" + std::to_string(i)));
    }
    settings.linkPort = reader.at("/linkPort").get<std::uint16_t>();
    settings.linkListenPort = document.value("linkListenPort", settings.linkPort);
    settings.firstStart = document.value("firstStart", false);
    constexpr double BytesPerMegabit = 125'000;
    settings.linkBytesPerSecond = document.value("linkMbps", 0.0) * BytesPerMegabit;
    settings.announceInterval = std::chrono::milliseconds(reader.at("/announceIntervalMs").get<int>());
    settings.maxLostReplicas = reader.at("/borneLosses").get<std::size_t>();
    settings.maxLostDataCentres = document.value("borneDataCentres", std::size_t{0});
    settings.drainTimeout = std::chrono::milliseconds(reader.at("/drainMs").get<std::int64_t>());
    settings.stopGracePeriod = std::chrono::milliseconds(reader.at("/graceMs").get<std::int64_t>());
    settings.dataFolder = document.value("dataFolder", "");
    settings.log = readLogSettings(document);
    if (reader.fault()) {
        return invalid(path, *reader.fault());
    }
    return settings;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, parseError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parseError != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return Endpoint{static_cast<std::uint32_t>(address.to_uint()), port};
}

std::string addressText(Endpoint endpoint)
{
    return boost::asio::ip::address_v4(endpoint.address).to_string();
}

std::string toText(ReplicaId replica)
{
    return addressText({value(replica), 0});
}

std::string toText(Endpoint endpoint)
{
    return addressText(endpoint) + ":" + std::to_string(endpoint.port);
}

} // namespace Robinrail
