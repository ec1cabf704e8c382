// SPDX-License-Identifier: MIT
// Control cluster: implementation.
#include "control_cluster.h"

#include "codec.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace Robinrail {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(15);
constexpr Duration JoinRequestInterval = std::chrono::milliseconds(400);

const char *const EmptyBundle = R"({"formatVersion": 1, "dataCentres": [{"id": 1, "name": "a"}], "services": [], "policy": {"approvals": 1}})";

} // namespace

ControlCluster::ControlCluster(const ClusterOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(std::chrono::hours(1))
{
    Genesis genesis;
    for (const char *name : {"first", "second"}) {
        // Random keys; the schedule does not depend on their values.
        KeyPair pair = generateKeyPair();
        m_keys[name] = pair;
        genesis.operators.push_back({name, pair.publicKey, OperatorRole::Administrator, false});
    }
    for (int i = 1; i <= options.replicas; ++i) {
        Node fresh;
        fresh.key = {ReplicaId{static_cast<std::uint16_t>(i)}, ++m_lastDisk};
        fresh.clockRate = 1 + m_options.clockSkew * (2 * uniform() - 1);
        m_nodes.push_back(std::move(fresh));
    }
    std::vector<ReplicaKey> seeds;
    for (int i = 0; i < options.seeds; ++i) {
        seeds.push_back(m_nodes[static_cast<std::size_t>(i)].key);
    }
    for (int i = 1; i <= options.seeds; ++i) {
        node(i).disk = RaftCore::bootstrap(seeds, encodeMessage(ControlCommand(genesis)));
    }
    for (Node &each : m_nodes) {
        start(each);
    }
}

ControlCluster::Node &ControlCluster::node(int number)
{
    return m_nodes[static_cast<std::size_t>(number - 1)];
}

void ControlCluster::start(Node &node)
{
    node.up = true;
    node.frozen = false;
    node.failSync = false;
    node.stopping = false;
    node.deferredActions.clear();
    node.tickets.clear();
    ++node.run;
    node.dialled.clear();
    for (int i = 0; i < m_options.seeds; ++i) {
        node.dialled[m_nodes[static_cast<std::size_t>(i)].key] = m_now;
    }
    for (Node &other : m_nodes) {
        if (const auto at = other.dialled.find(node.key); at != other.dialled.end()) {
            at->second = m_now;
        }
    }
    node.core = std::make_unique<ControlCore>(node.key, node.disk, clockOf(node), static_cast<std::uint32_t>(m_random()), m_options.policy);
    tick(node, node.run);
}

void ControlCluster::after(Duration delay, std::function<void()> action)
{
    m_events.push({m_now + delay, ++m_order, std::move(action)});
}

TimePoint ControlCluster::clockOf(const Node &node) const
{
    const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return TimePoint(Duration(static_cast<std::int64_t>(elapsed * node.clockRate)));
}

double ControlCluster::uniform()
{
    boost::random::uniform_real_distribution<double> distribution(0, 1);
    return distribution(m_random);
}

void ControlCluster::tick(Node &node, std::uint64_t run)
{
    if (!node.up || node.run != run) {
        return;
    }
    if (!node.frozen) {
        dial(node);
        node.core->tick(clockOf(node));
        const auto turn = m_now.time_since_epoch() / TickInterval % (JoinRequestInterval / TickInterval);
        const bool alone = node.core->raft().role() == RaftRole::Joining || !node.core->raft().inContact(clockOf(node));
        if (alone && turn == 0) {
            for (const Node &other : m_nodes) {
                send(node, {{other.key.id, 0}, JoinRequest{node.key}});
            }
        }
        flush(node);
    }
    after(TickInterval, [this, &node, run] {
        tick(node, run);
    });
}

void ControlCluster::runOnNode(Node &node, const std::function<void()> &action)
{
    if (!node.up) {
        return;
    }
    if (node.frozen) {
        node.deferredActions.push_back(action);
        return;
    }
    action();
    flush(node);
}

// Processes the output in the order of the driver: persist, send, apply, answer.
void ControlCluster::flush(Node &node)
{
    const RaftOutput output = node.core->takeOutput();
    if (output.mustSync() && node.failSync) {
        node.up = false;
        return;
    }
    if (output.snapshot) {
        node.disk.snapshot = output.snapshot;
        node.disk.log.clear();
    }
    node.disk.hard = output.hard.value_or(node.disk.hard);
    if (!output.entries.empty()) {
        std::erase_if(node.disk.log, [&output](const LogEntry &entry) {
            return entry.index >= output.entries.front().index;
        });
        node.disk.log.insert(node.disk.log.end(), output.entries.begin(), output.entries.end());
    }
    for (const RaftSend &message : output.sends) {
        send(node, message);
    }
    node.core->apply(output);
    if (node.core->compactIfDue()) {
        node.disk.snapshot = node.core->raft().snapshot();
        node.disk.log.assign(node.core->raft().log().begin(), node.core->raft().log().end());
    }
    check(node, output);
    for (const ControlReply &reply : node.core->takeReplies()) {
        const auto ticket = node.tickets.find(reply.ticket);
        if (ticket == node.tickets.end() || reply.status != RequestStatus::Done) {
            continue;
        }
        m_answers[ticket->second].push_back(reply.result);
        if (reply.result.refusal == ChangeRefusal::None) {
            m_acknowledged = std::max(m_acknowledged, reply.result.version);
        }
    }
    endIfStopped(node);
}

void ControlCluster::endIfStopped(Node &node)
{
    if (node.stopping && node.core->raft().stopCompleted(clockOf(node))) {
        node.up = false;
    }
}

void ControlCluster::send(Node &from, const RaftSend &message)
{
    if (!hasLink(from, node(value(message.to.id)))) {
        return;
    }
    const int copies = uniform() < m_options.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (uniform() < m_options.drop) {
            continue;
        }
        const Duration delay(static_cast<std::int64_t>(uniform() * static_cast<double>(m_options.longestDelay.count())));
        // Messages pass through the codec, as on a real link.
        const Bytes bytes = encodeMessage(message.message);
        after(delay, [this, &from, sender = from.key, to = message.to, bytes] {
            Node &target = node(value(to.id));
            const bool joins = to.disk == 0;
            if (!samePartition(from, target) || (!joins && target.key != to)) {
                return;
            }
            runOnNode(target, [this, &target, sender, bytes] {
                deliver(target, sender, bytes);
            });
        });
    }
}

// A replica that is not the leader forwards a join request to its leader, if it comes from the joining replica itself.
void ControlCluster::deliver(Node &target, ReplicaKey sender, const Bytes &bytes)
{
    const RaftMessage message = *decodeMessage<RaftMessage>(bytes);
    const RaftCore &raft = target.core->raft();
    const auto *join = std::get_if<JoinRequest>(&message);
    const bool leaderElsewhere = raft.role() != RaftRole::Leader && value(raft.leader().id) != 0;
    if (m_options.linkTime > Duration{0} && join != nullptr && join->joiner == sender && leaderElsewhere) {
        return send(target, {{raft.leader().id, 0}, *join});
    }
    target.core->handle(clockOf(target), sender, message);
}

void ControlCluster::dial(Node &node)
{
    for (const ReplicaMember &member : node.core->raft().config().members) {
        node.dialled.try_emplace(member.key, m_now);
    }
}

bool ControlCluster::hasLink(const Node &one, const Node &other) const
{
    const auto up = [this](const Node &dialler, const Node &peer) {
        const auto at = dialler.dialled.find(peer.key);
        return at != dialler.dialled.end() && m_now - at->second >= m_options.linkTime;
    };
    return m_options.linkTime == Duration{0} || up(one, other) || up(other, one);
}

bool ControlCluster::samePartition(const Node &one, const Node &other) const
{
    const auto side = [this](const Node &each) {
        return (m_partition >> (value(each.key.id) - 1U) & 1U) != 0;
    };
    return side(one) == side(other);
}

void ControlCluster::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

bool ControlCluster::runUntil(const std::function<bool()> &condition, Duration longest)
{
    const TimePoint end = m_now + longest;
    while (m_now < end && !condition()) {
        run(TickInterval);
    }
    return condition();
}

void ControlCluster::crash(int number)
{
    node(number).up = false;
}

void ControlCluster::stop(int number)
{
    Node &stopped = node(number);
    runOnNode(stopped, [this, &stopped] {
        stopped.stopping = true;
        stopped.core->beginStop(clockOf(stopped), VoteHandoverLimit);
    });
}

void ControlCluster::failNextSync(int number)
{
    node(number).failSync = true;
}

void ControlCluster::restart(int number)
{
    node(number).failSync = false;
    if (!node(number).up) {
        start(node(number));
    }
}

bool ControlCluster::wipe(int number)
{
    const int leading = leader();
    if (leading == 0) {
        return false;
    }
    const RaftCore &raft = core(leading).raft();
    const std::vector<ReplicaMember> &members = raft.config().members;
    const bool allIntact = std::all_of(members.begin(), members.end(), [this](const ReplicaMember &member) {
        return node(value(member.key.id)).key == member.key;
    });
    const bool committed = raft.commitIndex() == raft.lastIndex();
    if (!allIntact || !committed || members.size() != m_nodes.size() || !converged()) {
        return false;
    }
    loseDisk(number);
    return true;
}

void ControlCluster::loseDisk(int number)
{
    Node &lost = node(number);
    lost.disk = {};
    lost.key.disk = ++m_lastDisk;
    start(lost);
}

void ControlCluster::freeze(int number)
{
    node(number).frozen = true;
}

void ControlCluster::thaw(int number)
{
    Node &thawed = node(number);
    if (!thawed.frozen) {
        return;
    }
    thawed.frozen = false;
    for (const auto &action : std::exchange(thawed.deferredActions, {})) {
        runOnNode(thawed, action);
    }
}

void ControlCluster::partition(unsigned set)
{
    m_partition = set;
}

void ControlCluster::heal()
{
    m_partition = 0;
}

SignedChange ControlCluster::makeProposal(std::uint64_t base, const std::string &operatorName)
{
    ChangeId id{};
    for (std::uint8_t &byte : id) {
        byte = static_cast<std::uint8_t>(m_random());
    }
    return makeChange(id, operatorName, ProposeBundle{base, EmptyBundle}, m_keys.at(operatorName).secretKey);
}

void ControlCluster::submit(int number, const SignedChange &change)
{
    Node &target = node(number);
    if (!target.up || target.frozen) {
        return;
    }
    target.tickets[++m_lastTicket] = change.change;
    target.core->submit(clockOf(target), m_lastTicket, change);
    flush(target);
}

std::vector<ChangeResult> ControlCluster::answersTo(const ChangeId &change) const
{
    const auto at = m_answers.find(change);
    return at != m_answers.end() ? at->second : std::vector<ChangeResult>();
}

int ControlCluster::leader() const
{
    int best = 0;
    Term bestTerm{};
    for (const Node &each : m_nodes) {
        if (each.up && !each.frozen && each.core->raft().role() == RaftRole::Leader && each.core->raft().term() > bestTerm) {
            best = value(each.key.id);
            bestTerm = each.core->raft().term();
        }
    }
    return best;
}

ControlCore &ControlCluster::core(int number)
{
    return *node(number).core;
}

bool ControlCluster::up(int number) const
{
    return m_nodes[static_cast<std::size_t>(number - 1)].up;
}

bool ControlCluster::converged() const
{
    const int leading = leader();
    if (leading == 0) {
        return false;
    }
    const RaftCore &raft = m_nodes[static_cast<std::size_t>(leading - 1)].core->raft();
    const std::vector<ReplicaMember> &members = raft.config().members;
    const bool alike = std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &each) {
        const bool member = std::any_of(members.begin(), members.end(), [&each](const ReplicaMember &known) {
            return known.key == each.key;
        });
        return each.up && !each.frozen && member && each.core->raft().commitIndex() == raft.lastIndex();
    });
    return alike && members.size() == m_nodes.size() && voterCount() == std::min(m_options.policy.desiredVoters, m_nodes.size());
}

std::size_t ControlCluster::voterCount() const
{
    const int leading = leader();
    if (leading == 0) {
        return 0;
    }
    const std::vector<ReplicaMember> &members = m_nodes[static_cast<std::size_t>(leading - 1)].core->raft().config().members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const ReplicaMember &member) {
        return member.voter;
    }));
}

bool ControlCluster::isVoter(int number) const
{
    const int leading = leader();
    return leading != 0 && m_nodes[static_cast<std::size_t>(leading - 1)].core->raft().isVoter(m_nodes[static_cast<std::size_t>(number - 1)].key);
}

const std::string &ControlCluster::violation() const
{
    return m_violation;
}

std::uint64_t ControlCluster::acknowledgedVersion() const
{
    return m_acknowledged;
}

const KeyPair &ControlCluster::keyOf(const std::string &operatorName) const
{
    return m_keys.at(operatorName);
}

void ControlCluster::check(Node &node, const RaftOutput &output)
{
    const RaftCore &raft = node.core->raft();
    if (raft.role() == RaftRole::Leader) {
        const auto [at, added] = m_leaders.emplace(raft.term(), node.key);
        if (at->second != node.key) {
            fail("two leaders in term " + std::to_string(value(raft.term())));
        }
    }
    for (const LogEntry &entry : output.committed) {
        const auto [at, added] = m_committed.emplace(entry.index, entry);
        if (at->second != entry) {
            fail("two entries committed at index " + std::to_string(value(entry.index)));
        }
    }
    std::set<ChangeId> changes;
    for (const BundleVersion &version : node.core->state().history()) {
        const auto [at, added] = m_versions.emplace(version.version, version.change);
        if (at->second != version.change) {
            fail("two winners of version " + std::to_string(version.version));
        }
        if (!changes.insert(version.change).second) {
            fail("a change applied twice");
        }
    }
}

void ControlCluster::fail(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

} // namespace Robinrail
