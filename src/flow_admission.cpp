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
    m_services.assign(services.begin(), services.end());
    m_control.reset();
    m_serviceIndices.clear();
    for (const std::string &service : m_services) {
        m_serviceIndices.emplace(service, static_cast<std::uint16_t>(m_serviceIndices.size()));
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

const AdmissionControl &FlowAdmission::control() const
{
    return m_control;
}

} // namespace Robinrail
