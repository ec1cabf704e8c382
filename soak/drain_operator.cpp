// SPDX-License-Identifier: MIT
// Drain operator: implementation.
#include "drain_operator.h"

#include "operator_call.h"
#include "standin_wire.h"

namespace Robinrail::Soak {

namespace {

// Some drains outlast ApplyDeadline, so that flows are opened while the drain must be in force. Short enough for several drains
// in a run.
constexpr milliseconds MaxIdleTime{2500};
constexpr milliseconds MinDrainTime{300};
constexpr milliseconds MaxDrainTime{7000};

} // namespace

DrainOperator::DrainOperator(boost::asio::io_context &io, const Topology &topology, Violations &violations, std::uint64_t seed)
    : m_io(io)
    , m_topology(topology)
    , m_violations(violations)
    , m_random(seed)
{
}

void DrainOperator::enterStep(TimePoint now, Step step)
{
    m_step = step;
    m_retryDelay = FirstRetryDelay;
    m_nextActionAt = now;
    if (step == Step::Drained) {
        m_drainedSince = now;
        m_nextActionAt = now + uniformDuration(m_random, MinDrainTime, MaxDrainTime);
    } else if (step == Step::Idle) {
        m_nextActionAt = now + uniformDuration(m_random, milliseconds(0), MaxIdleTime);
    } else {
        m_drainedSince.reset();
    }
}

void DrainOperator::tick(TimePoint now)
{
    const bool endDrainEarly = m_finishing && m_step == Step::Drained;
    if (m_callPending || (now < m_nextActionAt && !endDrainEarly)) {
        return;
    }
    if (m_step == Step::Idle && !m_finishing) {
        enterStep(now, Step::Draining);
    } else if (m_step == Step::Drained) {
        enterStep(now, Step::Restoring);
    }
    if (m_step == Step::Draining || m_step == Step::Restoring) {
        sendCommand(now);
    }
}

void DrainOperator::sendCommand(TimePoint now)
{
    m_callPending = true;
    m_nextActionAt = now + m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, MaxRetryDelay);
    const Endpoint replica{m_topology.replica(uniformIndex(m_random, m_topology.replicas)), Topology::ControlPort};
    const HttpRequest request{m_step == Step::Draining ? "POST" : "DELETE", Platform::drainPath(DrainedDataCentre), {}, {}, {}};
    callLeader(m_io, replica, request, [this, step = m_step](const std::optional<HttpResponse> &reply) {
        handleReply(step, reply);
    });
}

void DrainOperator::handleReply(Step step, const std::optional<HttpResponse> &reply)
{
    constexpr unsigned FirstRefusal = 400;
    constexpr unsigned FirstFailure = 500;
    m_callPending = false;
    if (reply && reply->status == Ok) {
        ++m_acceptedCommands;
        return enterStep(monotonicNow(), step == Step::Draining ? Step::Drained : Step::Idle);
    }
    if (reply && reply->status >= FirstRefusal && reply->status < FirstFailure) {
        m_violations.report("a drain command is accepted", std::to_string(reply->status) + " " + reply->body);
    }
}

void DrainOperator::finish()
{
    m_finishing = true;
}

std::optional<TimePoint> DrainOperator::drainedSince() const
{
    return m_drainedSince;
}

bool DrainOperator::idle() const
{
    return m_step == Step::Idle;
}

std::size_t DrainOperator::acceptedCommands() const
{
    return m_acceptedCommands;
}

} // namespace Robinrail::Soak
