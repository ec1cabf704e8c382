// SPDX-License-Identifier: MIT
// Flow admission: implementation.
#include "flow_admission.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

FlowAdmission::FlowAdmission(DataCentreId own, double linkBytesPerSecond)
    : m_control(own, linkBytesPerSecond)
{
}

void FlowAdmission::setServices(std::span<const std::string> services)
{
    m_usableDataCentres.clear();
    if (std::ranges::equal(services, m_services)) {
        return;
    }
    const std::vector<std::string> former = std::exchange(m_services, {services.begin(), services.end()});
    m_control.reset();
    m_serviceIndices.clear();
    for (const std::string &service : m_services) {
        m_serviceIndices.emplace(service, static_cast<std::uint16_t>(m_serviceIndices.size()));
    }
    for (const auto &[key, counts] : std::exchange(m_counts, {})) {
        if (const auto index = m_serviceIndices.find(former[key.first]); index != m_serviceIndices.end()) {
            m_counts.emplace(CountKey{index->second, key.second}, counts);
        }
    }
}

std::string FlowAdmission::serviceName(std::uint16_t service) const
{
    return service < m_services.size() ? m_services[service] : std::string();
}

// Of the address without the port: a caller that returns from another port keeps its place in the order of admission.
std::uint64_t FlowAdmission::callerHash(Endpoint caller)
{
    return hashPair(caller.address, 0);
}

void FlowAdmission::forgetUsable()
{
    for (auto &[service, usable] : m_usableDataCentres) {
        usable.known = false;
    }
}

void FlowAdmission::recordAnswer(TimePoint now, const TargetRecord &target, Duration answerTime)
{
    const auto service = m_serviceIndices.find(target.service);
    if (service != m_serviceIndices.end()) {
        m_control.recordAnswer(now, {service->second, target.dataCentre}, answerTime);
    }
}

void FlowAdmission::recordBytes(std::size_t received, std::size_t sent)
{
    m_control.recordBytes(received, sent);
}

void FlowAdmission::tick(TimePoint now)
{
    m_control.tick(now);
    forgetUsable();
}

void FlowAdmission::count(std::uint16_t service, std::uint8_t priority, AdmissionVerdict verdict)
{
    AdmissionCounts &counts = m_counts[{service, std::min(priority, MaxPriority)}];
    switch (verdict) {
    case AdmissionVerdict::Anywhere:
    case AdmissionVerdict::DataCentre:
        ++counts.admitted;
        break;
    case AdmissionVerdict::RefusedByPools:
        ++counts.refusedByPools;
        break;
    case AdmissionVerdict::RefusedByLink:
        ++counts.refusedByLink;
        break;
    }
}

const std::map<FlowAdmission::CountKey, AdmissionCounts> &FlowAdmission::counts() const
{
    return m_counts;
}

const AdmissionControl &FlowAdmission::control() const
{
    return m_control;
}

} // namespace Robinrail
