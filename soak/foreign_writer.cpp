// SPDX-License-Identifier: MIT
// Foreign writer: implementation.
#include "foreign_writer.h"

#include "standin_wire.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Robinrail::Soak {

namespace {

const std::string ForeignService = "backup-agent";

// As often as targets.
constexpr milliseconds MinAnnounceInterval{700};
constexpr milliseconds MaxAnnounceInterval{840};
constexpr milliseconds CallTimeout{1000};

// How long a process keeps its id. A process that has started after the target at its address looks like the target's
// successor.
constexpr milliseconds MinLifetime{2000};
constexpr milliseconds MaxLifetime{8000};

// Share of the processes that name a known service, if any do.
constexpr double KnownServiceShare = 0.5;

// Shares of the announcements of an unknown service. Most are complete, since only those can be taken for announcements of targets.
constexpr double MissingFieldShare = 0.1;
constexpr double WrongTypeShare = 0.1;
constexpr double UnreadableShare = 0.1;

constexpr std::size_t MaxUnreadableBytes = 300;

// Beyond the keys of the simulated targets, which have 48 bits.
constexpr std::uint64_t FirstKey = 0xf0'0000'0000'0000;

} // namespace

ForeignWriter::ForeignWriter(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed, bool knownServices)
    : m_io(io)
    , m_topology(topology)
    , m_knownServices(knownServices)
    , m_random(seed)
    , m_processes(topology.targets)
{
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        TargetRecord &record = m_processes[i].record;
        record.service = ForeignService;
        record.address = {m_topology.target(i), Topology::TargetPort};
        record.dataCentre = DataCentreId{static_cast<std::uint8_t>(1 + i % DataCentres.size())};
    }
}

void ForeignWriter::startProcess(TimePoint now, Process &process)
{
    process.endAt = now + uniformDuration(m_random, MinLifetime, MaxLifetime);
    process.record.key = TargetKey{FirstKey + ++m_processesStarted};
    process.record.sequence = 0;
    process.record.service = m_knownServices && chance(m_random, KnownServiceShare) ? Services[uniformIndex(m_random, Services.size())] : ForeignService;
}

// An announcement with one member that is missing or has a value that is invalid for every member.
std::string ForeignWriter::invalidBody(const std::string &complete)
{
    nlohmann::json body = nlohmann::json::parse(complete);
    const auto field = std::next(body.begin(), static_cast<std::ptrdiff_t>(uniformIndex(m_random, body.size())));
    const std::array<nlohmann::json, 5> values = {nullptr, -1, true, nlohmann::json::array(), nlohmann::json::object()};
    const std::size_t drawn = uniformIndex(m_random, values.size() + 1);
    if (drawn == values.size()) {
        body.erase(field);
    } else {
        *field = values[drawn];
    }
    return body.dump();
}

std::string ForeignWriter::randomBody(const TargetRecord &record)
{
    const std::string complete = Platform::serializeAnnouncement(record, DataCentres[value(record.dataCentre) - 1]);
    if (record.service != ForeignService) {
        return invalidBody(complete);
    }
    if (chance(m_random, UnreadableShare)) {
        std::string bytes(uniformIndex(m_random, MaxUnreadableBytes), '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(m_random());
        }
        return bytes;
    }
    nlohmann::json body = nlohmann::json::parse(complete);
    const auto field = std::next(body.begin(), static_cast<std::ptrdiff_t>(uniformIndex(m_random, body.size())));
    if (chance(m_random, MissingFieldShare)) {
        body.erase(field);
    } else if (chance(m_random, WrongTypeShare)) {
        const std::array<nlohmann::json, 5> values = {nullptr, -1, "text", nlohmann::json::array(), nlohmann::json::object()};
        *field = values[uniformIndex(m_random, values.size())];
    }
    return body.dump();
}

void ForeignWriter::tick(TimePoint now)
{
    for (Process &process : m_processes) {
        if (now < process.nextAnnounceAt) {
            continue;
        }
        if (now >= process.endAt) {
            startProcess(now, process);
        }
        process.nextAnnounceAt = now + uniformDuration(m_random, MinAnnounceInterval, MaxAnnounceInterval);
        ++process.record.sequence;
        ++m_announcements;
        const Endpoint replica{m_topology.replica(uniformIndex(m_random, m_topology.replicas)), Topology::ControlPort};
        startHttpRequest(
            m_io, replica, {"PUT", Platform::targetPath(process.record.key), {}, {}, randomBody(process.record)}, CallTimeout, [](const auto &) {});
    }
}

std::size_t ForeignWriter::announcements() const
{
    return m_announcements;
}

} // namespace Robinrail::Soak
