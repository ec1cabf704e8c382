// SPDX-License-Identifier: MIT
// Drain orders: implementation.
#include "drain_orders.h"

#include "operator_call.h"
#include "standin_wire.h"

namespace Robinrail::Soak {

namespace {

// Long enough, now and then, that openings come after the order must be in force; short enough for several in a run.
constexpr milliseconds MaxIdleTime{2500};
constexpr milliseconds MinDrain{300};
constexpr milliseconds MaxDrain{7000};

} // namespace

DrainOrders::DrainOrders(boost::asio::io_context &io, const Plan &plan, Promises &promises, std::uint64_t seed)
    : m_io(io)
    , m_plan(plan)
    , m_promises(promises)
    , m_random(seed)
{
}

void DrainOrders::enter(TimePoint now, Step step)
{
    m_step = step;
    m_pause = FirstCallPause;
    m_due = now;
    if (step == Step::Drained) {
        m_drainedSince = now;
        m_due = now + between(m_random, MinDrain, MaxDrain);
    } else if (step == Step::Resting) {
        m_due = now + between(m_random, milliseconds(0), MaxIdleTime);
    } else {
        m_drainedSince.reset();
    }
}

void DrainOrders::tick(TimePoint now)
{
    const bool hurry = m_finishing && m_step == Step::Drained;
    if (m_calling || (now < m_due && !hurry)) {
        return;
    }
    if (m_step == Step::Resting && !m_finishing) {
        enter(now, Step::Draining);
    } else if (m_step == Step::Drained) {
        enter(now, Step::TakingBack);
    }
    if (m_step == Step::Draining || m_step == Step::TakingBack) {
        call(now);
    }
}

void DrainOrders::call(TimePoint now)
{
    m_calling = true;
    m_due = now + m_pause;
    m_pause = std::min(m_pause * 2, MaxCallPause);
    const Endpoint replica{m_plan.replica(pick(m_random, m_plan.replicas)), Plan::ControlPort};
    const HttpRequest request{m_step == Step::Draining ? "POST" : "DELETE", Platform::drainPath(DrainedDataCentre), {}, {}, {}};
    callReplica(m_io, replica, request, [this, step = m_step](const std::optional<HttpResponse> &reply) {
        answered(step, reply);
    });
}

void DrainOrders::answered(Step step, const std::optional<HttpResponse> &reply)
{
    constexpr unsigned FirstRefusal = 400;
    constexpr unsigned FirstFailure = 500;
    m_calling = false;
    if (reply && reply->status == Ok) {
        ++m_taken;
        return enter(monotonicNow(), step == Step::Draining ? Step::Drained : Step::Resting);
    }
    if (reply && reply->status >= FirstRefusal && reply->status < FirstFailure) {
        m_promises.broken("an order to drain a data centre is taken", std::to_string(reply->status) + " " + reply->body);
    }
}

void DrainOrders::finish()
{
    m_finishing = true;
}

std::optional<TimePoint> DrainOrders::drainedSince() const
{
    return m_drainedSince;
}

bool DrainOrders::settled() const
{
    return m_step == Step::Resting;
}

std::size_t DrainOrders::taken() const
{
    return m_taken;
}

} // namespace Robinrail::Soak
