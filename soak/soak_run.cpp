// SPDX-License-Identifier: MIT
// Soak run: implementation.
#include "soak_run.h"

#include "caller_simulator.h"
#include "drain_operator.h"
#include "fault_scheduler.h"
#include "foreign_writer.h"
#include "gone_target_checker.h"
#include "log.h"
#include "malformed_request_sender.h"
#include "node_supervisor.h"
#include "overload_scheduler.h"
#include "replica_version_checker.h"
#include "routing_operator.h"
#include "target_simulator.h"

#include <boost/asio/steady_timer.hpp>

namespace Robinrail::Soak {

namespace {

// Time limit until all balancers are ready and the first request is answered.
constexpr Duration StartDeadline = seconds(20);

// Share of recent requests that must be answered for service to count as recovered.
constexpr double MinRecoveredSuccessRate = 0.97;

// Time limit of the last phase: enough for a change to come into force, for a read to confirm it, and for a flow to be refused
// and opened again.
constexpr Duration FinalChangeDeadline = RecoveryDeadline + FaultGracePeriod;

// Time after the end of an overload within which service must be back to normal, and when the requests of the following
// OutcomeWindow have ended.
constexpr Duration OverloadRecoveryDeadline = seconds(2);
constexpr Duration OverloadOutcomeDelay = OverloadRecoveryDeadline + CallerSimulator::OutcomeWindow + CallerSimulator::OutcomeMinAge;

// Time limit until no fault has been active for FaultGracePeriod: a target may drain for 9 s, and its successor starts then.
constexpr Duration CalmDeadline = seconds(20);

// Each component draws from its own random stream, so that an additional draw in one doesn't affect the others.
std::uint64_t streamSeed(std::uint64_t seed, std::uint64_t component)
{
    constexpr std::uint64_t Streams = 16;
    return seed * Streams + component;
}

// From FirstRunWithPartialSeedNodes on, the settings of a restarted node list only a majority of the replicas.
RunOptions withSeedOptions(RunOptions options)
{
    options.topology.overload = options.seed >= FirstRunWithOverload;
    options.topology.births = namesKnownServices(options.seed);
    const std::size_t replicas = options.topology.replicas;
    options.topology.seedNodes = options.seed >= FirstRunWithPartialSeedNodes ? replicas / 2 + 1 : replicas;
    return options;
}

class SoakRun
{
public:
    explicit SoakRun(const RunOptions &options)
        : m_options(withSeedOptions(options))
        , m_admissionOrder(m_violations)
        , m_nodes(m_io, m_options.topology, m_faults, m_violations, options.programs, options.work)
        , m_targets(m_io, m_options.topology, m_faults, m_admissionOrder, m_violations, streamSeed(options.seed, 1))
        , m_callers(m_io, m_options.topology, m_targets, m_admissionOrder, m_violations, streamSeed(options.seed, 2))
        , m_routingOperator(m_io, m_options.topology, m_violations, streamSeed(options.seed, 4))
        , m_drainOperator(m_io, options.topology, m_violations, streamSeed(options.seed, 6))
        , m_replicaVersions(m_io, options.topology, m_faults, m_violations)
        , m_foreignWriter(m_io, options.topology, streamSeed(options.seed, 8), namesKnownServices(options.seed))
        , m_restartRandom(streamSeed(options.seed, 7))
        , m_lateAnswerRandom(streamSeed(options.seed, 9))
        , m_malformedRequests(m_io, options.topology, streamSeed(options.seed, 10))
        , m_overloads(m_callers, m_targets, streamSeed(options.seed, 11))
        , m_goneTargets(options.topology, m_targets, m_violations, options.work)
        , m_faultScheduler(options.topology, m_nodes, m_targets, m_routingOperator, m_faults, streamSeed(options.seed, 5))
        , m_timer(m_io)
    {
    }

    bool run()
    {
        m_nodes.startAll(monotonicNow());
        enter(Phase::Starting, StartDeadline);
        tick();
        m_io.run();
        LogLine(LogLevel::Info, "seed-ended")
            .with("seed", m_options.seed)
            .with("served", m_callers.completedRequests())
            .with("failed", m_callers.failedRequests())
            .with("runs", m_targets.executedRequests())
            .with("troubles", m_faultScheduler.injectedFaults())
            .with("version", m_routingOperator.acknowledged())
            .with("reads", m_routingOperator.reads())
            .with("drain-orders", m_drainOperator.acceptedCommands())
            .with("foreign-announcements", m_foreignWriter.announcements())
            .with("malformed-requests", m_malformedRequests.sentRequests())
            .with("versions-judged", m_replicaVersions.checkedAnswers())
            .with("overloads", m_overloads.overloads())
            .with("refused-flows", m_callers.refusedFlows())
            .with("rejected-requests", m_targets.rejectedRequests())
            .with("urgent-refusals", m_admissionOrder.urgentRefusals())
            .with("broken", m_violations.count());
        return m_violations.count() == 0;
    }

private:
    enum class Phase : std::uint8_t {
        Starting, // Until all balancers are ready and a request was answered.
        InjectingFaults,
        Recovering, // Until all faults have ended and requests are answered again.
        Calming, // Until no fault has been active for FaultGracePeriod. In runs with overload only, as the next one.
        RecoveringFromOverload, // An overload without another fault, until the requests after it have ended.
        VerifyingFinalChange, // Until the final change is in force and was read back.
        Ended,
    };

    void enter(Phase phase, Duration timeLimit)
    {
        m_phase = phase;
        m_phaseDeadline = monotonicNow() + timeLimit;
        LogLine(LogLevel::Info, "phase").with("number", static_cast<int>(phase)).with("served", m_callers.completedRequests());
    }

    void tick()
    {
        const TimePoint now = monotonicNow();
        m_nodes.tick(now);
        m_targets.tick(now);
        m_routingOperator.tick(now);
        m_replicaVersions.tick(now, m_routingOperator.acknowledged());
        m_targets.setRouteRemovedSince(m_routingOperator.routeRemovedSince());
        if (drainsEnabled() && m_phase != Phase::Starting) {
            m_drainOperator.tick(now);
            m_targets.setDrainedSince(m_drainOperator.drainedSince());
        }
        if (m_options.topology.overload) {
            m_admissionOrder.tick(now);
            m_goneTargets.tick(now);
            m_overloads.endIfDue(now);
        }
        if (m_options.seed >= FirstRunWithForeignWriter) {
            m_foreignWriter.tick(now);
            m_malformedRequests.tick(now);
        }
        if (m_phase != Phase::Starting || m_callers.fabric().readyBalancers() == m_options.topology.balancers) {
            m_callers.tick(now);
        } else {
            m_callers.fabric().tick(now);
        }
        advancePhase(now);
        if (m_phase == Phase::Ended) {
            return m_io.stop();
        }
        m_timer.expires_after(TickInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    bool drainsEnabled() const
    {
        return m_options.seed >= FirstRunWithDrains;
    }

    void restartTargets(TimePoint now)
    {
        constexpr milliseconds MinInterval{400};
        constexpr milliseconds MaxInterval{4000};
        constexpr milliseconds Downtime{300};
        if (drainsEnabled() && now >= m_nextRestartAt) {
            m_nextRestartAt = now + uniformDuration(m_restartRandom, MinInterval, MaxInterval);
            m_targets.restart(now, Downtime);
        }
    }

    // A target answers opening packets late, and a balancer through which they pass is stopped meanwhile or shortly after.
    void delayAnswers(TimePoint now)
    {
        constexpr milliseconds MinInterval{1000};
        constexpr milliseconds MaxInterval{3000};
        constexpr milliseconds MinDelay{250};
        constexpr milliseconds MaxDelay{900};
        constexpr milliseconds Lateness{1500};
        if (m_options.seed < FirstRunWithLateAnswers) {
            return;
        }
        if (now >= m_nextLateAnswersAt) {
            m_nextLateAnswersAt = now + uniformDuration(m_lateAnswerRandom, MinInterval, MaxInterval);
            m_targets.answerLate(now + Lateness, uniformDuration(m_lateAnswerRandom, MinDelay, MaxDelay));
            m_nextStopAt = now + uniformDuration(m_lateAnswerRandom, milliseconds(0), Lateness);
        }
        if (m_nextStopAt && now >= *m_nextStopAt) {
            m_nextStopAt.reset();
            const std::size_t balancer = m_options.topology.replicas + uniformIndex(m_lateAnswerRandom, m_options.topology.balancers);
            if (m_nodes.canInjectFault(balancer)) {
                m_nodes.terminate(now, balancer, uniformDuration(m_lateAnswerRandom, MinDelay, MaxDelay));
            }
        }
    }

    void advancePhase(TimePoint now)
    {
        const bool expired = now >= m_phaseDeadline;
        switch (m_phase) {
        case Phase::Starting:
            if (m_callers.completedRequests() > 0) {
                return enter(Phase::InjectingFaults, m_options.faultInjectionTime);
            }
            break;
        case Phase::InjectingFaults:
            m_faultScheduler.tick(now);
            restartTargets(now);
            delayAnswers(now);
            if (m_options.topology.overload) {
                m_overloads.tick(now);
            }
            if (expired) {
                m_nodes.endAllFaults(now);
                m_drainOperator.finish();
                enter(Phase::Recovering, RecoveryDeadline);
            }
            return;
        case Phase::Recovering:
            if (m_nodes.faultFree() && m_callers.recentSuccessRate(now) >= MinRecoveredSuccessRate) {
                m_calmSince = now;
                return m_options.topology.overload ? enter(Phase::Calming, CalmDeadline) : submitFinalChange(now);
            }
            break;
        case Phase::Calming:
            if (isCalm(now)) {
                m_overloads.begin(now);
                return enter(Phase::RecoveringFromOverload, m_overloads.endAt() + OverloadOutcomeDelay - now);
            }
            break;
        case Phase::RecoveringFromOverload:
            if (expired) {
                checkRecoveryFromOverload(now);
                return submitFinalChange(now);
            }
            return;
        case Phase::VerifyingFinalChange:
            if (m_routingOperator.finalReadSucceeded() && m_drainOperator.idle() && m_callers.completedOnChangingRoute() > m_completedBeforeChange) {
                return enter(Phase::Ended, Duration{0});
            }
            break;
        case Phase::Ended:
            return;
        }
        if (expired) {
            const char *const invariant = m_phase == Phase::VerifyingFinalChange ? "the newest change is in force and read back" : "service is back in time";
            m_violations.report(invariant, "recent success rate " + std::to_string(m_callers.recentSuccessRate(now)));
            enter(Phase::Ended, Duration{0});
        }
    }

    void submitFinalChange(TimePoint now)
    {
        m_routingOperator.finish();
        m_routingOperator.submitChange(now, true);
        m_completedBeforeChange = m_callers.completedOnChangingRoute();
        enter(Phase::VerifyingFinalChange, FinalChangeDeadline);
    }

    // Whether neither a node nor a target has had a fault for a while, no data centre is drained, and requests are answered.
    bool isCalm(TimePoint now)
    {
        const bool faultFree = m_nodes.faultFree() && m_targets.faultFree(now) && m_drainOperator.idle();
        if (!faultFree || m_callers.recentSuccessRate(now, LatencyObjective) < MinRecoveredSuccessRate) {
            m_calmSince = now;
        }
        return now - m_calmSince >= FaultGracePeriod;
    }

    void checkRecoveryFromOverload(TimePoint now)
    {
        const double rate = m_callers.recentSuccessRate(now, LatencyObjective);
        LogLine(LogLevel::Info, "recovered-from-overload").with("success-rate", rate);
        if (rate < MinRecoveredSuccessRate) {
            m_violations.report("service is back to normal after an overload", "share answered within the latency objective: " + std::to_string(rate));
        }
    }

    RunOptions m_options;
    boost::asio::io_context m_io;
    Violations m_violations;
    AdmissionOrderChecker m_admissionOrder;
    FaultTracker m_faults;
    NodeSupervisor m_nodes;
    TargetSimulator m_targets;
    CallerSimulator m_callers;
    RoutingOperator m_routingOperator;
    DrainOperator m_drainOperator;
    ReplicaVersionChecker m_replicaVersions;
    ForeignWriter m_foreignWriter;
    Random m_restartRandom; // For restarts of targets under their previous keys.
    TimePoint m_nextRestartAt;
    Random m_lateAnswerRandom;
    MalformedRequestSender m_malformedRequests;
    OverloadScheduler m_overloads;
    GoneTargetChecker m_goneTargets;
    TimePoint m_calmSince;
    TimePoint m_nextLateAnswersAt;
    std::optional<TimePoint> m_nextStopAt; // Of a balancer.
    FaultScheduler m_faultScheduler;
    boost::asio::steady_timer m_timer;
    Phase m_phase = Phase::Starting;
    TimePoint m_phaseDeadline;
    std::size_t m_completedBeforeChange = 0;
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
