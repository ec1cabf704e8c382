// SPDX-License-Identifier: MIT
// Soak run: implementation.
#include "soak_run.h"

#include "caller_crowd.h"
#include "drain_orders.h"
#include "fault_schedule.h"
#include "log.h"
#include "node_herd.h"
#include "operator_desk.h"
#include "replica_watch.h"
#include "target_fleet.h"

#include <boost/asio/steady_timer.hpp>

namespace Robinrail::Soak {

namespace {

// All balancers must be ready for the first time within this.
constexpr Duration StartTime = seconds(20);

// Once the troubles are over, this share of requests must be answered again.
constexpr double ServedAgain = 0.97;

// The last phase: long enough for a change to be in force, a read to be sure, and a flow to be refused.
constexpr Duration LastPhaseTime = RecoveryTime + ContactTime;

// Each part of a run draws from a stream of its own, so that one more draw in one changes no other.
std::uint64_t streamOf(std::uint64_t seed, std::uint64_t part)
{
    constexpr std::uint64_t Streams = 16;
    return seed * Streams + part;
}

// Later seeds tell a node that starts again of a majority of the replicas only.
RunOptions withSeeds(RunOptions options)
{
    const std::size_t all = options.plan.replicas;
    options.plan.namedSeeds = options.seed >= FirstSeedWithFewSeeds ? all / 2 + 1 : all;
    return options;
}

class SoakRun
{
public:
    explicit SoakRun(const RunOptions &options)
        : m_options(withSeeds(options))
        , m_nodes(m_io, m_options.plan, m_trouble, m_promises, options.programs, options.work)
        , m_targets(m_io, options.plan, m_trouble, m_promises, streamOf(options.seed, 1))
        , m_callers(m_io, options.plan, m_targets, m_promises, streamOf(options.seed, 2))
        , m_desk(m_io, options.plan, m_promises, streamOf(options.seed, 4))
        , m_drains(m_io, options.plan, m_promises, streamOf(options.seed, 6))
        , m_replicas(m_io, options.plan, m_trouble, m_promises)
        , m_restarts(streamOf(options.seed, 7))
        , m_schedule(options.plan, m_nodes, m_targets, m_desk, m_trouble, streamOf(options.seed, 5))
        , m_timer(m_io)
    {
    }

    bool run()
    {
        m_nodes.startAll(monotonicNow());
        enter(Phase::Starting, StartTime);
        tick();
        m_io.run();
        LogLine(LogLevel::Info, "seed-ended")
            .with("seed", m_options.seed)
            .with("served", m_callers.served())
            .with("failed", m_callers.failed())
            .with("runs", m_targets.runs())
            .with("troubles", m_schedule.drawn())
            .with("version", m_desk.acknowledged())
            .with("reads", m_desk.reads())
            .with("drain-orders", m_drains.taken())
            .with("versions-judged", m_replicas.judged())
            .with("broken", m_promises.count());
        return m_promises.count() == 0;
    }

private:
    enum class Phase : std::uint8_t {
        Starting, // Until all balancers are ready and callers are served.
        Troubled,
        Recovering, // Until callers are served again.
        Settling, // Until the last change is in force and read back.
        Ended,
    };

    void enter(Phase phase, Duration limit)
    {
        m_phase = phase;
        m_phaseEnd = monotonicNow() + limit;
        LogLine(LogLevel::Info, "phase").with("number", static_cast<int>(phase)).with("served", m_callers.served());
    }

    void tick()
    {
        const TimePoint now = monotonicNow();
        m_nodes.tick(now);
        m_targets.tick(now);
        m_desk.tick(now);
        m_replicas.tick(now, m_desk.acknowledged());
        m_targets.setRouteGone(m_desk.routeGoneSince());
        if (withDrains() && m_phase != Phase::Starting) {
            m_drains.tick(now);
            m_targets.setDrained(m_drains.drainedSince());
        }
        if (m_phase != Phase::Starting || m_callers.fabric().readyCount() == m_options.plan.balancers) {
            m_callers.tick(now);
        } else {
            m_callers.fabric().tick(now);
        }
        follow(now);
        if (m_phase == Phase::Ended) {
            return m_io.stop();
        }
        m_timer.expires_after(StandinTick);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    bool withDrains() const
    {
        return m_options.seed >= FirstSeedWithDrains;
    }

    void restartTargets(TimePoint now)
    {
        constexpr milliseconds MinPause{400};
        constexpr milliseconds MaxPause{4000};
        constexpr milliseconds RestartTime{300};
        if (withDrains() && now >= m_restartDue) {
            m_restartDue = now + between(m_restarts, MinPause, MaxPause);
            m_targets.restart(now, RestartTime);
        }
    }

    void follow(TimePoint now)
    {
        const bool late = now >= m_phaseEnd;
        switch (m_phase) {
        case Phase::Starting:
            if (m_callers.served() > 0) {
                return enter(Phase::Troubled, m_options.troubleTime);
            }
            break;
        case Phase::Troubled:
            m_schedule.tick(now);
            restartTargets(now);
            if (late) {
                m_nodes.settleAll(now);
                m_drains.finish();
                enter(Phase::Recovering, RecoveryTime);
            }
            return;
        case Phase::Recovering:
            if (m_nodes.calm() && m_callers.servedOfLate(now) >= ServedAgain) {
                m_desk.finish();
                m_desk.change(now, true);
                m_servedBefore = m_callers.servedOnChangingRoute();
                return enter(Phase::Settling, LastPhaseTime);
            }
            break;
        case Phase::Settling:
            if (m_desk.settled() && m_drains.settled() && m_callers.servedOnChangingRoute() > m_servedBefore) {
                return enter(Phase::Ended, Duration{0});
            }
            break;
        case Phase::Ended:
            return;
        }
        if (late) {
            const char *const promise = m_phase == Phase::Settling ? "the newest change is in force and read back" : "service is back in time";
            m_promises.broken(promise, "served of late " + std::to_string(m_callers.servedOfLate(now)));
            enter(Phase::Ended, Duration{0});
        }
    }

    RunOptions m_options;
    boost::asio::io_context m_io;
    Promises m_promises;
    Trouble m_trouble;
    NodeHerd m_nodes;
    TargetFleet m_targets;
    CallerCrowd m_callers;
    OperatorDesk m_desk;
    DrainOrders m_drains;
    ReplicaWatch m_replicas;
    Random m_restarts; // Of targets, under their keys.
    TimePoint m_restartDue;
    FaultSchedule m_schedule;
    boost::asio::steady_timer m_timer;
    Phase m_phase = Phase::Starting;
    TimePoint m_phaseEnd;
    std::size_t m_servedBefore = 0;
};

} // namespace

bool runSoak(const RunOptions &options)
{
    std::filesystem::remove_all(options.work);
    std::filesystem::create_directories(options.work);
    SoakRun run(options);
    return run.run();
}

} // namespace Robinrail::Soak
