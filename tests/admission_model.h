// SPDX-License-Identifier: MIT
// Admission model: callers, balancers and targets with queues in virtual time, for the tests of admission control.
#pragma once

#include "admission_control.h"
#include "hash.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <limits>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace Robinrail::AdmissionModel {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint16_t Service = 0;
inline constexpr std::uint8_t Urgent = 1;
inline constexpr std::uint8_t Normal = 2;
inline constexpr std::size_t QueueLength = 8;
inline constexpr Duration RejectionTime = milliseconds(1);
inline constexpr Duration RemoteTime = milliseconds(5); // Added to each answer from another data centre.
inline constexpr Duration TickInterval = milliseconds(20);

struct Kind {
    RequestObjective objective;
    Duration work{};
    double part = 0; // Of the requests.
};

// The two kinds of short requests of deployment (a) in docs/design/overload.md.
inline const std::vector<Kind> Requests = {
    {{Normal, milliseconds(400), seconds(4)}, milliseconds(30), 984.0 / 1471},
    {{Urgent, milliseconds(500), seconds(4)}, milliseconds(39), 487.0 / 1471},
};

// Slots and a queue: requests start in the order of arrival.
struct Target {
    std::vector<TimePoint> slotsFree;
    std::deque<TimePoint> starts; // Of accepted requests that may still wait.
    double slowness = 1;

    // Time of the answer; nothing if the queue is full.
    std::optional<TimePoint> accept(TimePoint now, Duration work)
    {
        while (!starts.empty() && starts.front() <= now) {
            starts.pop_front();
        }
        if (starts.size() >= QueueLength) {
            return std::nullopt;
        }
        TimePoint &slot = *std::ranges::min_element(slotsFree);
        starts.push_back(std::max(now, slot));
        slot = starts.back() + Duration(std::llround(static_cast<double>(work.count()) * slowness));
        return slot;
    }
};

struct Balancer {
    AdmissionControl control;
    std::size_t dataCentre;
    Duration clockOffset; // Monotonic clocks of machines differ.
    std::vector<std::vector<std::uint32_t>> open; // Requests under way by data centre and target.
};

struct Options {
    std::size_t dataCentres = 1;
    std::size_t targets = 40; // In each data centre.
    std::size_t balancers = 26; // In each data centre.
    std::uint32_t attempts = 3;
    std::vector<Kind> kinds = Requests;
    std::uint64_t seed = 1;
};

struct Outcomes {
    double offered = 0; // Requests.
    double good = 0; // Answered within the objective.
    double goodWork = 0; // Seconds of slot time of these.
    double refused = 0; // Opening packets refused by admission control.
    double rejected = 0; // Requests rejected by a full target.
    double restricted = 0; // Verdicts other than Anywhere.

    Outcomes &operator+=(const Outcomes &other)
    {
        offered += other.offered;
        good += other.good;
        goodWork += other.goodWork;
        refused += other.refused;
        rejected += other.rejected;
        restricted += other.restricted;
        return *this;
    }
};

// Callers, balancers and targets of some data centres. Requests are counted in the interval in which their callers sent them first.
class Fleet
{
public:
    explicit Fleet(const Options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t dataCentre = 0; dataCentre < options.dataCentres; dataCentre++) {
            m_usable.push_back(static_cast<DataCentreId>(dataCentre + 1));
            m_targets.emplace_back(options.targets, Target{{TimePoint{}, TimePoint{}}, {}, 1});
            m_load.push_back(0);
            m_nextArrival.push_back(TimePoint::max());
        }
        for (std::size_t i = 0; i < options.dataCentres * options.balancers; i++) {
            const std::size_t dataCentre = i / options.balancers;
            m_balancers.push_back({AdmissionControl(m_usable[dataCentre], 0),
                                   dataCentre,
                                   Duration(m_random(3'600'000'000U)),
                                   std::vector(options.dataCentres, std::vector<std::uint32_t>(options.targets))});
        }
        m_admitted.resize(m_balancers.size());
    }

    // A fleet that ran for 5 s with this load of every data centre, so that its balancers know the usual answer time.
    Fleet(const Options &options, double load)
        : Fleet(options)
    {
        for (std::size_t dataCentre = 0; dataCentre < options.dataCentres; dataCentre++) {
            setLoad(dataCentre, load);
        }
        run(seconds(5), seconds(1));
    }

    // Requests per second that the slots of a data centre can do.
    double capacity() const
    {
        double work = 0;
        for (const Kind &kind : m_options.kinds) {
            work += kind.part * std::chrono::duration<double>(kind.work).count();
        }
        return 2.0 * static_cast<double>(m_options.targets) / work;
    }

    // Load of a data centre's balancers, as a part of the capacity of its slots.
    void setLoad(std::size_t dataCentre, double load)
    {
        m_load[dataCentre] = load;
        m_nextArrival[dataCentre] = load > 0 ? m_now + gap(dataCentre) : TimePoint::max();
    }

    std::vector<Target> &targets(std::size_t dataCentre)
    {
        return m_targets[dataCentre];
    }

    void setSilent(std::size_t dataCentre, bool silent)
    {
        m_silent[dataCentre] = silent;
    }

    // Runs for this long, and returns the outcomes by interval and priority. Requests of the last interval count with what
    // becomes of them until its end.
    std::vector<std::array<Outcomes, PriorityCount>> run(Duration length, Duration interval)
    {
        m_interval = interval;
        m_runStart = m_now;
        m_offered.assign(m_load.size(), 0);
        m_refused.assign(m_load.size(), 0);
        m_outcomes.assign(static_cast<std::size_t>(length / interval), {});
        const TimePoint end = m_now + length;
        while (m_now < end) {
            step();
        }
        return m_outcomes;
    }

    // Admitted flows since the start.
    std::vector<double> admittedByBalancer() const
    {
        return m_admitted;
    }

    // Requests and refusals of a data centre's callers in the last run.
    double offeredOf(std::size_t dataCentre) const
    {
        return m_offered[dataCentre];
    }
    double refusedOf(std::size_t dataCentre) const
    {
        return m_refused[dataCentre];
    }

private:
    struct Request {
        std::size_t kind = 0;
        std::size_t dataCentre = 0; // Of the balancers that get it.
        std::uint64_t caller = 0;
        TimePoint sent;
        std::uint32_t attempt = 0;
    };

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    Duration gap(std::size_t dataCentre)
    {
        return Duration(std::llround(std::exponential_distribution(m_load[dataCentre] * capacity())(m_random) * 1e6));
    }

    void schedule(TimePoint at, std::function<void()> action)
    {
        m_events.push({at, m_order++, std::move(action)});
    }

    Outcomes *outcomes(const Request &request)
    {
        const auto index = static_cast<std::size_t>((request.sent - m_runStart) / m_interval);
        return request.sent >= m_runStart && index < m_outcomes.size() ? &m_outcomes[index][m_options.kinds[request.kind].objective.priority] : nullptr;
    }

    void step()
    {
        const auto first = std::ranges::min_element(m_nextArrival);
        const TimePoint event = m_events.empty() ? TimePoint::max() : m_events.top().at;
        m_now = std::min({*first, event, m_nextTick});
        if (m_now == m_nextTick) {
            for (Balancer &each : m_balancers) {
                each.control.tick(m_now + each.clockOffset);
            }
            m_nextTick += TickInterval;
        } else if (m_now == event) {
            const std::function<void()> action = m_events.top().action;
            m_events.pop();
            action();
        } else {
            const auto dataCentre = static_cast<std::size_t>(first - m_nextArrival.begin());
            *first = m_now + gap(dataCentre);
            Request request{0, dataCentre, m_random(), m_now, 0};
            double place = std::uniform_real_distribution()(m_random);
            while (request.kind + 1 < m_options.kinds.size() && place >= m_options.kinds[request.kind].part) {
                place -= m_options.kinds[request.kind++].part;
            }
            m_offered[dataCentre]++;
            if (Outcomes *result = outcomes(request)) {
                result->offered++;
            }
            attempt(request);
        }
    }

    // Each attempt comes from another port, so that it may reach another balancer.
    void attempt(const Request &request)
    {
        const std::size_t index = request.dataCentre * m_options.balancers + m_random(static_cast<std::uint32_t>(m_options.balancers));
        Balancer &balancer = m_balancers[index];
        const Kind &kind = m_options.kinds[request.kind];
        const AdmissionDecision decision = balancer.control.decide(m_now + balancer.clockOffset, Service, kind.objective, request.caller, m_usable);
        Outcomes *result = outcomes(request);
        if (result != nullptr && decision.verdict != AdmissionVerdict::Anywhere) {
            result->restricted++;
        }
        if (decision.verdict == AdmissionVerdict::RefusedByPools) {
            m_refused[request.dataCentre]++;
            if (result != nullptr) {
                result->refused++;
            }
            retry(request);
            return;
        }
        m_admitted[index]++;
        const std::size_t dataCentre = decision.verdict == AdmissionVerdict::DataCentre ? value(decision.dataCentre) - 1U : balancer.dataCentre;
        std::vector<std::uint32_t> &open = balancer.open[dataCentre];
        const std::uint32_t one = m_random(static_cast<std::uint32_t>(open.size()));
        const std::uint32_t two = m_random(static_cast<std::uint32_t>(open.size()));
        const std::uint32_t chosen = open[one] <= open[two] ? one : two;
        const std::optional<TimePoint> answer = m_targets[dataCentre][chosen].accept(m_now, kind.work);
        if (m_silent[dataCentre]) {
            return;
        }
        open[chosen]++;
        const Duration distance = dataCentre != balancer.dataCentre ? RemoteTime : Duration{};
        const TimePoint start = m_now;
        schedule(answer.value_or(m_now) + RejectionTime + distance, [this, &balancer, request, dataCentre, chosen, start, rejected = !answer] {
            balancer.open[dataCentre][chosen]--;
            balancer.control.recordAnswer(m_now + balancer.clockOffset, {Service, m_usable[dataCentre]}, m_now - start);
            Outcomes *counted = outcomes(request);
            if (rejected) {
                if (counted != nullptr) {
                    counted->rejected++;
                }
                retry(request);
            } else if (counted != nullptr && m_now - request.sent <= m_options.kinds[request.kind].objective.latency) {
                counted->good++;
                counted->goodWork += std::chrono::duration<double>(m_options.kinds[request.kind].work).count();
            }
        });
    }

    void retry(Request request)
    {
        if (++request.attempt < m_options.attempts) {
            schedule(m_now + milliseconds(50 + m_random(200)), [this, request] {
                attempt(request);
            });
        }
    }

    Options m_options;
    pcg32 m_random;
    std::vector<DataCentreId> m_usable;
    std::vector<std::vector<Target>> m_targets;
    std::array<bool, 8> m_silent{};
    std::vector<double> m_load;
    std::vector<Balancer> m_balancers;
    std::vector<double> m_admitted; // Flows, by balancer.
    std::vector<double> m_offered; // By data centre.
    std::vector<double> m_refused;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::vector<TimePoint> m_nextArrival; // By data centre.
    TimePoint m_now{std::chrono::hours(1)};
    TimePoint m_nextTick = m_now;
    TimePoint m_runStart;
    Duration m_interval = seconds(1);
    std::vector<std::array<Outcomes, PriorityCount>> m_outcomes;
};

inline Outcomes total(const std::array<Outcomes, PriorityCount> &interval)
{
    Outcomes sum;
    for (const Outcomes &each : interval) {
        sum += each;
    }
    return sum;
}

// Prints a measured figure if ADMISSION_FIGURES is set.
inline void printFigure(const std::string &name, double value)
{
    static const bool Prints = std::getenv("ADMISSION_FIGURES") != nullptr;
    if (Prints) {
        std::cout << name << ": " << value << "\n";
    }
}

inline Outcomes totalOf(const std::vector<std::array<Outcomes, PriorityCount>> &intervals)
{
    std::array<Outcomes, PriorityCount> sums;
    for (std::size_t i = 0; i < PriorityCount; i++) {
        for (const auto &each : intervals) {
            sums[i] += each[i];
        }
    }
    return total(sums);
}

// Lowest of the values of each two neighbouring intervals, from the one with this index on to the last but one.
inline double lowestOfPairs(const std::vector<std::array<Outcomes, PriorityCount>> &intervals,
                            std::size_t first,
                            const std::function<double(std::array<Outcomes, PriorityCount>)> &value)
{
    double lowest = std::numeric_limits<double>::max();
    for (std::size_t i = first; i + 2 < intervals.size(); i++) {
        std::array<Outcomes, PriorityCount> pair = intervals[i];
        for (std::size_t priority = 0; priority < PriorityCount; priority++) {
            pair[priority] += intervals[i + 1][priority];
        }
        lowest = std::min(lowest, value(pair));
    }
    return lowest;
}

// Lowest share, in any 2 s, of a default fleet's slot time that went into answers within the objective.
inline double lowestUsefulShare(const std::vector<std::array<Outcomes, PriorityCount>> &intervals, std::size_t first)
{
    return lowestOfPairs(intervals, first, [](const auto &pair) {
        return total(pair).goodWork / (2 * 2.0 * 40);
    });
}

// Lowest share, in any 2 s, of urgent requests that were answered within the objective.
inline double lowestUrgentShare(const std::vector<std::array<Outcomes, PriorityCount>> &intervals, std::size_t first)
{
    return lowestOfPairs(intervals, first, [](const auto &pair) {
        return pair[Urgent].good / pair[Urgent].offered;
    });
}

// One balancer's decisions without a fleet: a steady stream of flows of one data centre, and answers that the test provides.
struct SingleBalancer {
    static constexpr DataCentreId Here{1};
    static constexpr DataCentreId There{2};

    AdmissionControl control{Here, 0};
    TimePoint now{std::chrono::hours(1)};
    std::vector<DataCentreId> usable{Here};
    std::uint64_t nextCaller = 1;

    // Runs for this long with so many flows per second of each priority; an answer follows each admitted flow at once, unless
    // the answer time is 0. Returns the admitted flows per second by priority.
    PriorityRates run(Duration length, const std::vector<RequestObjective> &kinds, double rate, Duration answerTime)
    {
        PriorityRates admitted{};
        const auto gap = Duration(std::llround(1e6 / rate / static_cast<double>(kinds.size())));
        const TimePoint end = now + length;
        for (std::size_t i = 0; now < end; i++, now += gap) {
            const RequestObjective &objective = kinds[i % kinds.size()];
            const AdmissionDecision decision = control.decide(now, Service, objective, hashPair(nextCaller++, 0), usable);
            if (decision.verdict == AdmissionVerdict::Anywhere || decision.verdict == AdmissionVerdict::DataCentre) {
                admitted[objective.priority] += 1 / std::chrono::duration<double>(length).count();
                const DataCentreId to = decision.verdict == AdmissionVerdict::DataCentre ? decision.dataCentre : usable.front();
                if (answerTime > Duration{}) {
                    control.recordAnswer(now, {Service, to}, answerTime);
                }
            }
            control.tick(now);
        }
        return admitted;
    }
};

} // namespace Robinrail::AdmissionModel
