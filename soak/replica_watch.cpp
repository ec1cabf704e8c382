// SPDX-License-Identifier: MIT
// Replica watch: implementation.
#include "replica_watch.h"

#include "http.h"

#include <charconv>

namespace Robinrail::Soak {

namespace {

constexpr Duration AskInterval = milliseconds(250);
constexpr milliseconds AskTimeout{1000};

} // namespace

std::optional<std::uint64_t> routingVersionOf(std::string_view metrics)
{
    constexpr std::string_view Name = "\nrobinrail_routing_version ";
    const std::size_t at = metrics.find(Name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = metrics.substr(at + Name.size());
    std::uint64_t version = 0;
    const auto read = std::from_chars(number.data(), number.data() + number.size(), version);
    return read.ec == std::errc() ? std::optional(version) : std::nullopt;
}

void AcknowledgedVersions::note(TimePoint now, std::uint64_t acknowledged)
{
    if (acknowledged > (m_recent.empty() ? m_due : m_recent.back().version)) {
        m_recent.push_back({now, acknowledged});
    }
}

std::uint64_t AcknowledgedVersions::due(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at >= ApplyTime) {
        m_due = m_recent.front().version;
        m_recent.pop_front();
    }
    return m_due;
}

ReplicaWatch::ReplicaWatch(boost::asio::io_context &io, const Plan &plan, const Trouble &trouble, Promises &promises)
    : m_io(io)
    , m_plan(plan)
    , m_trouble(trouble)
    , m_promises(promises)
{
}

void ReplicaWatch::tick(TimePoint now, std::uint64_t acknowledged)
{
    m_versions.note(now, acknowledged);
    if (now < m_askDue) {
        return;
    }
    m_askDue = now + AskInterval;
    for (std::size_t replica = 0; replica < m_plan.replicas; ++replica) {
        ask(now, replica);
    }
}

void ReplicaWatch::ask(TimePoint now, std::size_t replica)
{
    const HttpRequest request{"GET", "/metrics", {}, {}, {}};
    const std::uint64_t due = m_versions.due(now);
    startHttpRequest(
        m_io, {m_plan.replica(replica), Plan::ControlPort}, request, AskTimeout, [this, now, replica, due](const std::optional<HttpResponse> &reply) {
            if (const auto held = reply ? routingVersionOf(reply->body) : std::nullopt) {
                judge(now, replica, due, *held);
            }
        });
}

// Asked only of a replica that was out of trouble for the contact time, and while the others have had a quorum as long.
void ReplicaWatch::judge(TimePoint asked, std::size_t replica, std::uint64_t due, std::uint64_t held)
{
    const TimePoint now = monotonicNow();
    const std::uint32_t address = m_plan.replica(replica);
    if (m_trouble.near(asked, address) || m_trouble.near(now, address) || !m_trouble.controlCalm(asked, m_plan)) {
        return;
    }
    ++m_judged;
    if (held < due) {
        m_promises.broken("a replica holds what was acknowledged",
                          "replica " + std::to_string(replica) + " holds " + std::to_string(held) + " of " + std::to_string(due));
    }
}

std::size_t ReplicaWatch::judged() const
{
    return m_judged;
}

} // namespace Robinrail::Soak
