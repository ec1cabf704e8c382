// SPDX-License-Identifier: MIT
// Target candidates: prepared lists equal a straightforward computation after any event, and windows of long lists are fair.
#include "steering_balancer.h"
#include "target_probe.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <unordered_map>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr DataCentreId ThirdDataCentre{3};
constexpr std::array DataCentres = {LocalDataCentre, RemoteDataCentre, ThirdDataCentre};
const std::vector<std::string> Services = {"quotes", "decks", "scripts"};

using Targets = std::vector<SteeredTarget *>;

// Two keys with the same token.
std::pair<std::uint64_t, std::uint64_t> collidingKeys()
{
    std::unordered_map<std::uint32_t, std::uint64_t> keys;
    for (std::uint64_t key = 1'000;; ++key) {
        const auto [at, added] = keys.try_emplace(value(SteeringTargets::tokenOf(TargetKey{key})), key);
        if (!added) {
            return {at->second, key};
        }
    }
}

// The state that the lists depend on, changed by random events.
class RandomEvents
{
public:
    explicit RandomEvents(std::uint64_t seed)
        : m_random(seed)
    {
        static const auto colliding = collidingKeys();
        m_keys = {colliding.first, colliding.second};
        for (std::uint64_t key = 101; key < 121; ++key) {
            m_keys.push_back(key);
        }
        applyTable();
        while (draw(4) != 0) {
            announce();
        }
    }

    void run()
    {
        constexpr std::array Events = {&RandomEvents::announce,
                                       &RandomEvents::announce,
                                       &RandomEvents::repeatReport,
                                       &RandomEvents::restart,
                                       &RandomEvents::suspect,
                                       &RandomEvents::suspect,
                                       &RandomEvents::declareGone,
                                       &RandomEvents::showLife,
                                       &RandomEvents::setDrained,
                                       &RandomEvents::applyTable,
                                       &RandomEvents::changeReplicas,
                                       &RandomEvents::passTime,
                                       &RandomEvents::passToDeadline,
                                       &RandomEvents::tick};
        (this->*Events.at(draw(Events.size())))();
    }

    TimePoint now = Start;
    SteeringTargets targets;
    SteeringRoutes routes;

    std::uint32_t draw(std::size_t bound)
    {
        return m_random(static_cast<std::uint32_t>(bound));
    }

private:
    TargetKey anyKey()
    {
        return TargetKey{m_keys.at(draw(m_keys.size()))};
    }

    SteeredTarget *anyTarget()
    {
        return targets.find(SteeringTargets::tokenOf(anyKey()));
    }

    void take(const TargetRecord &record)
    {
        targets.take(now, draw(2) == 0 ? FirstReplica : SecondReplica, {record, draw(4) == 0, Duration{0}, Duration{0}});
    }

    TargetRecord &record(TargetKey key)
    {
        const auto [at, added] = m_records.try_emplace(key, targetOf(value(key), Services.at(draw(Services.size())), DataCentres.at(draw(DataCentres.size()))));
        return at->second;
    }

    void announce()
    {
        TargetRecord &announced = record(anyKey());
        ++announced.sequence;
        const std::uint32_t kind = draw(12);
        if (kind < 2) {
            announced.phase = kind == 0 ? TargetPhase::Left : TargetPhase::Draining;
        } else if (kind == 2) {
            announced.service = Services.at(draw(Services.size()));
        } else if (kind == 3) {
            announced.dataCentre = DataCentres.at(draw(DataCentres.size()));
        } else if (kind == 4) {
            announced.warmupLeft = milliseconds(draw(3'000));
        }
        take(announced);
    }

    // A report that changes at most whether a target counts as alive.
    void repeatReport()
    {
        take(record(anyKey()));
    }

    void restart()
    {
        TargetRecord &restarted = record(anyKey());
        ++restarted.born;
        restarted.sequence = 1;
        restarted.phase = TargetPhase::Serving;
        restarted.warmupLeft = milliseconds(draw(2) * 2'000);
        take(restarted);
    }

    void suspect()
    {
        if (SteeredTarget *target = anyTarget()) {
            targets.markSuspect(now, *target);
        }
    }

    void declareGone()
    {
        const TargetKey key = anyKey();
        targets.declareGone(now, {key, record(key).born});
    }

    void showLife()
    {
        if (SteeredTarget *target = anyTarget()) {
            targets.markAlive(now, *target);
        }
    }

    void setDrained()
    {
        std::vector<DataCentreId> drained;
        for (const DataCentreId dataCentre : DataCentres) {
            if (draw(4) == 0) {
                drained.push_back(dataCentre);
            }
        }
        for (const DataCentreId dataCentre : routes.setDrained(drained)) {
            targets.startWarmup(dataCentre, now + routes.longestWarmup());
        }
    }

    void applyTable()
    {
        RoutingTable table;
        table.version = routes.table().version + 1;
        table.services = Services;
        std::rotate(table.services.begin(), table.services.begin() + draw(Services.size()), table.services.end());
        for (std::size_t i = 0; i < Services.size(); ++i) {
            table.warmups.push_back({seconds(2), draw(2) == 0});
        }
        table.services.resize(1 + draw(Services.size()));
        routes.apply(table);
    }

    void changeReplicas()
    {
        const ReplicaId replica = draw(2) == 0 ? FirstReplica : SecondReplica;
        switch (draw(3)) {
        case 0:
            return targets.setSource(replica);
        case 1:
            return targets.dropReplicaReports(replica, true);
        default:
            return targets.withdrawReportsExcept(replica, {anyKey(), anyKey(), anyKey()});
        }
    }

    void passTime()
    {
        now += milliseconds(draw(1'000));
    }

    // The exact end of a target's suspicion, warm-up or time as gone, or the last moment before.
    void passToDeadline()
    {
        if (const SteeredTarget *target = anyTarget()) {
            for (const TimePoint end : {target->suspectUntil, target->warmupEnd, target->goneUntil}) {
                now = std::max(now, end - Duration(draw(2)));
            }
        }
    }

    void tick()
    {
        now += seconds(draw(8) == 0 ? 121 : 1);
        targets.tick(now);
    }

    pcg32 m_random;
    std::vector<std::uint64_t> m_keys;
    std::map<TargetKey, TargetRecord> m_records;
};

bool mayGetFlows(const RandomEvents &events, std::uint16_t service, const SteeredTarget &target)
{
    const bool cold = events.routes.table().warmupOf(service).limited && events.now < target.warmupEnd;
    return !cold && target.record.phase == TargetPhase::Serving && !target.tokenCollision && !events.routes.isDrained(target.record.dataCentre);
}

int rankOf(const RandomEvents &events, const SteeredTarget &target)
{
    if (events.now < target.goneUntil) {
        return 3;
    }
    if (!events.targets.reportedAlive(target)) {
        return 2;
    }
    return events.now < target.suspectUntil ? 1 : 0;
}

// The straightforward computation: the targets of the best rank, where all but half of a data centre's usable ones count as
// healthy, those first whose suspicion ends first.
Targets expectedChoices(RandomEvents &events, std::uint16_t service, std::optional<DataCentreId> only)
{
    std::map<SteeredTarget *, int> ranks;
    for (SteeredTarget *target : events.targets.ofService(events.routes.table().services[service])) {
        if (mayGetFlows(events, service, *target) && (!only || target->record.dataCentre == *only)) {
            ranks[target] = rankOf(events, *target);
        }
    }
    for (const DataCentreId dataCentre : DataCentres) {
        std::map<std::pair<TimePoint, TargetKey>, SteeredTarget *> suspects;
        std::size_t usable = 0;
        for (const auto &[target, rank] : ranks) {
            usable += target->record.dataCentre == dataCentre && rank <= 1 ? 1 : 0;
            if (target->record.dataCentre == dataCentre && rank == 1) {
                suspects[{target->suspectUntil, target->record.key}] = target;
            }
        }
        while (suspects.size() > usable / 2) {
            ranks[suspects.begin()->second] = 0;
            suspects.erase(suspects.begin());
        }
    }
    int best = 3;
    for (const auto &[target, rank] : ranks) {
        best = std::min(best, rank);
    }
    Targets expected;
    for (const auto &[target, rank] : ranks) {
        if (rank == best) {
            expected.push_back(target);
        }
    }
    return expected;
}

// Power of two choices by rendezvous hashing over all targets.
SteeredTarget *expectedPick(const Targets &targets, const SelectionContext &context)
{
    std::map<std::pair<bool, std::uint64_t>, SteeredTarget *> scored;
    for (SteeredTarget *target : targets) {
        scored[{target->record.dataCentre != context.dataCentre, ~hashPair(context.flowHash, value(target->record.key))}] = target;
    }
    std::array<std::size_t, 2> drawn{};
    SteeredTarget *best = nullptr;
    for (const auto &[place, target] : scored) {
        if (++drawn.at(place.first ? 1 : 0) > 2) {
            continue;
        }
        if (best == nullptr || LeastLoadedSelection::load(*target, context) < LeastLoadedSelection::load(*best, context)) {
            best = target;
        }
    }
    return best;
}

std::set<TargetKey> keysOf(std::span<SteeredTarget *const> targets)
{
    std::set<TargetKey> keys;
    for (const SteeredTarget *target : targets) {
        keys.insert(target->record.key);
    }
    return keys;
}

void compare(RandomEvents &events, TargetCandidates &candidates, std::uint16_t service, std::optional<DataCentreId> only)
{
    const Targets expected = expectedChoices(events, service, only);
    const TargetChoices choices = candidates.choices(events.now, events.targets, events.routes, service, only);
    Targets prepared(choices.local.begin(), choices.local.end());
    prepared.insert(prepared.end(), choices.remote.begin(), choices.remote.end());
    REQUIRE(prepared.size() == expected.size());
    REQUIRE(keysOf(prepared) == keysOf(expected));
    for (const SteeredTarget *target : choices.local) {
        REQUIRE(target->record.dataCentre == LocalDataCentre);
    }
    for (const SteeredTarget *target : choices.remote) {
        REQUIRE(target->record.dataCentre != LocalDataCentre);
    }
    for (SteeredTarget *target : prepared) {
        target->busy = events.draw(6);
    }
    const SelectionContext context{events.now, (std::uint64_t{events.draw(1U << 31U)} << 32U) + events.draw(1U << 31U), LocalDataCentre, only};
    REQUIRE((prepared.empty() ? nullptr : PowerOfTwoSelection::pick(choices, context)) == expectedPick(expected, context));
}

void compareUsable(RandomEvents &events, TargetCandidates &candidates, std::uint16_t service)
{
    std::set<DataCentreId> expected;
    for (const SteeredTarget *target : events.targets.ofService(events.routes.table().services[service])) {
        if (mayGetFlows(events, service, *target) && events.targets.reportedAlive(*target)) {
            expected.insert(target->record.dataCentre);
        }
    }
    const std::span<const DataCentreId> usable = candidates.usableDataCentres(events.now, events.targets, events.routes, service);
    REQUIRE(usable.size() == expected.size());
    REQUIRE(std::set<DataCentreId>(usable.begin(), usable.end()) == expected);
}

// A service with targets in two data centres, in every second one of them.
struct LongList {
    SteeringTargets targets;
    SteeringRoutes routes;
    TargetCandidates candidates{LocalDataCentre};

    explicit LongList(std::uint64_t count)
    {
        routes.apply(tableOf(1));
        for (std::uint64_t key = 1; key <= count; ++key) {
            take(targetOf(key, "quotes", key % 2 == 0 ? LocalDataCentre : RemoteDataCentre));
        }
    }

    void take(const TargetRecord &record)
    {
        targets.take(Start, FirstReplica, {record, false, Duration{0}, Duration{0}});
    }

    SteeredTarget *pick(std::uint64_t flow)
    {
        const SelectionContext context{Start, hashPair(flow, 0), LocalDataCentre, {}};
        return PowerOfTwoSelection::pick(candidates.choices(Start, targets, routes, 0), context);
    }
};

} // namespace

// Guards against a stale list: an event that a prepared list depends on and that does not invalidate it.
TEST_CASE("prepared candidates equal a straightforward computation after any sequence of events")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        RandomEvents events(seed);
        TargetCandidates candidates(LocalDataCentre);
        for (int step = 0; step < 400; ++step) {
            CAPTURE(step);
            events.run();
            for (std::uint16_t service = 0; service < events.routes.table().services.size(); ++service) {
                compareUsable(events, candidates, service);
                compare(events, candidates, service, std::nullopt);
                for (const DataCentreId dataCentre : DataCentres) {
                    compare(events, candidates, service, dataCentre);
                }
            }
        }
    }
}

// Guards against the cost of a rebuild per packet: signs of life of healthy targets arrive with each answer.
TEST_CASE("prepared candidates are not rebuilt by signs of life of healthy targets, nor by time alone")
{
    LongList list(200);
    for (std::uint64_t flow = 1; flow <= 1'000; ++flow) {
        list.targets.markAlive(Start, *list.pick(flow));
        list.candidates.choices(Start + seconds(flow), list.targets, list.routes, 0);
    }
    CHECK(list.candidates.rebuilds() == 1);
    list.targets.markSuspect(Start, *list.pick(1));
    list.pick(1);
    list.pick(2);
    CHECK(list.candidates.rebuilds() == 2);
}

// Guards against other targets than before for services whose targets are all scored.
TEST_CASE("up to the maximum of scored targets, the two with the highest scores of all are compared")
{
    LongList list(MaxScoredTargets);
    pcg32 random(7);
    const TargetChoices choices = list.candidates.choices(Start, list.targets, list.routes, 0);
    Targets all(choices.local.begin(), choices.local.end());
    all.insert(all.end(), choices.remote.begin(), choices.remote.end());
    REQUIRE(all.size() == MaxScoredTargets);
    std::size_t remote = 0;
    for (std::uint64_t flow = 1; flow <= 2'000; ++flow) {
        for (SteeredTarget *target : all) {
            target->busy = random(5);
        }
        const SteeredTarget *picked = list.pick(flow);
        CHECK(picked == expectedPick(all, {Start, hashPair(flow, 0), LocalDataCentre, {}}));
        remote += picked->record.dataCentre == RemoteDataCentre ? 1 : 0;
    }
    CHECK(remote > 100);
}

// Guards against windows that prefer some targets, and against one change that moves the flows of all others.
TEST_CASE("targets of a long list get equal shares, and a target that leaves moves few other flows")
{
    constexpr std::uint64_t Count = 1'000;
    constexpr std::uint64_t FlowsPerTarget = 200;
    LongList list(2 * Count); // Half of them in the own data centre, which has room.
    std::map<TargetKey, std::uint64_t> shares;
    std::vector<TargetKey> picked;
    for (std::uint64_t flow = 0; flow < Count * FlowsPerTarget; ++flow) {
        const SteeredTarget *target = list.pick(flow);
        REQUIRE(target->record.dataCentre == LocalDataCentre);
        picked.push_back(target->record.key);
        ++shares[target->record.key];
    }
    CHECK(shares.size() == Count);
    for (const auto &[key, flows] : shares) {
        CHECK(flows > FlowsPerTarget * 2 / 3); // Five standard deviations of the hash.
        CHECK(flows < FlowsPerTarget * 4 / 3);
    }
    TargetRecord left = targetOf(2, "quotes");
    left.phase = TargetPhase::Left;
    left.sequence = 2;
    list.take(left);
    std::uint64_t moved = 0;
    for (std::uint64_t flow = 0; flow < Count * FlowsPerTarget; ++flow) {
        moved += list.pick(flow)->record.key != picked[flow] ? 1 : 0;
    }
    CHECK(moved < Count * FlowsPerTarget / 10);
}
