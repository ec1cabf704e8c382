// SPDX-License-Identifier: MIT
// Raft core, membership: joining, promotion, demotion and removal, one change at a time (Ongaro 2014, section 4).
#include "raft_core.h"

#include "codec.h"

#include <algorithm>
#include <cassert>

namespace Robinrail {

namespace {

// A join request that was not repeated for this long is dropped.
constexpr Duration JoinRequestLifetime = std::chrono::seconds(3);

} // namespace

Bytes encodeClusterConfig(const ClusterConfig &config)
{
    return encodeObject(config);
}

ClusterConfig decodeClusterConfig(const Bytes &data)
{
    ClusterConfig config;
    [[maybe_unused]] const bool taken = decodeObject(data, config);
    assert(taken);
    return config;
}

// Adds joining replicas step by step: they become learners; once one has caught up, the voter that the same
// replica was with its lost disk is removed; then the learner is promoted. A repaired replica thus counts
// only with a complete log, and losing a second replica afterwards loses no committed entry. Learners count
// in no quorum, so all joining replicas are added in one change; at the first start of a fleet these are all
// replicas except the seeds.
void RaftCore::updateMembership(TimePoint now)
{
    if (configPending() || termAt(m_commit) != m_hard.term) {
        return;
    }
    std::erase_if(m_joiners, [now](const auto &joiner) {
        return now - joiner.second >= JoinRequestLifetime;
    });
    std::erase_if(m_stoppingMembers, [now](const auto &stopping) {
        return now - stopping.second >= StopNoticeLifetime;
    });
    ClusterConfig changed = config();
    if (addJoiningLearners(now, changed) || demoteVoter(now, changed) || replaceOrAddVoter(now, changed) || removeLearner(now, changed)) {
        proposeConfig(now, changed);
    }
}

bool RaftCore::addJoiningLearners(TimePoint now, ClusterConfig &config) const
{
    bool any = false;
    for (const auto &[joiner, asked] : m_joiners) {
        const auto known = std::find_if(config.members.begin(), config.members.end(), [&joiner = joiner](const ReplicaMember &member) {
            return member.key == joiner;
        });
        if (known == config.members.end() && joiner.id != m_self.id && now >= asked) {
            config.members.push_back({joiner, false});
            any = true;
        }
    }
    return any;
}

// The vote of a lost disk is gone for good, so that voter is removed before its successor is promoted. A voter
// that timed out may return, so there a spare is promoted before the voter is demoted: with four voters, the
// return of the one that timed out still gives a majority if another voter is lost at that moment. A voter that
// is about to stop is replaced like one that timed out, while it still counts for the commits of both changes.
bool RaftCore::replaceOrAddVoter(TimePoint now, ClusterConfig &config) const
{
    ReplicaMember *spare = nullptr;
    for (ReplicaMember &member : config.members) {
        if (!readyForPromotion(now, member)) {
            continue;
        }
        const auto old = std::find_if(config.members.begin(), config.members.end(), [&member](const ReplicaMember &other) {
            return other.voter && other.key.id == member.key.id && other.key != member.key;
        });
        if (old != config.members.end()) {
            config.members.erase(old);
            return true;
        }
        if (spare == nullptr || otherVotersInDataCentre(member) < otherVotersInDataCentre(*spare)) {
            spare = &member;
        }
    }
    const bool voterLost = std::any_of(config.members.begin(), config.members.end(), [&](const ReplicaMember &member) {
        return member.voter && (voterTimedOut(now, member) || (voterLeaves(now, member) && canReplaceStoppingVoters(now)));
    });
    const bool wanted = voterCount() < m_policy.desiredVoters || (voterCount() == m_policy.desiredVoters && voterLost);
    if (spare == nullptr || !wanted) {
        return false;
    }
    spare->voter = true;
    return true;
}

// Demotes a surplus voter to learner: one that timed out or is about to stop if there is one, else one from the data centre with the
// most voters. A leader that is about to stop is the surplus one itself, which its successor demotes.
bool RaftCore::demoteVoter(TimePoint now, ClusterConfig &config) const
{
    if (voterCount() <= m_policy.desiredVoters) {
        return false;
    }
    ReplicaMember *retired = nullptr;
    const auto rank = [&](const ReplicaMember &member) {
        return std::pair(voterLeaves(now, member), otherVotersInDataCentre(member));
    };
    for (ReplicaMember &member : config.members) {
        const bool eligible = member.voter && member.key != m_self;
        if (eligible && (retired == nullptr || rank(member) > rank(*retired))) {
            retired = &member;
        }
    }
    if (m_stopping && !voterLeaves(now, *retired)) {
        return false;
    }
    retired->voter = false;
    return true;
}

// Removes a learner that was not heard from for LearnerRemovalTimeout, or earlier if its replica has come back with another disk.
bool RaftCore::removeLearner(TimePoint now, ClusterConfig &config) const
{
    const auto lost = std::find_if(config.members.begin(), config.members.end(), [&](const ReplicaMember &member) {
        const auto progress = m_progress.find(member.key);
        if (member.voter || progress == m_progress.end()) {
            return false;
        }
        const Duration silence = now - progress->second.lastHeard;
        const bool superseded = std::any_of(config.members.begin(), config.members.end(), [&member](const ReplicaMember &other) {
            return other.key.id == member.key.id && other.key != member.key;
        });
        const bool keepsItself = m_policy.voterTimeout > Duration{0};
        return (superseded && silence >= JoinRequestLifetime) || (keepsItself && silence >= LearnerRemovalTimeout);
    });
    if (lost == config.members.end()) {
        return false;
    }
    config.members.erase(lost);
    return true;
}

bool RaftCore::readyForPromotion(TimePoint now, const ReplicaMember &member) const
{
    const auto progress = m_progress.find(member.key);
    if (member.voter || progress == m_progress.end()) {
        return false;
    }
    const bool caughtUp = value(progress->second.match) + MaxPromotionLag >= value(lastIndex()) && progress->second.match > LogIndex{0};
    return caughtUp && now - progress->second.lastHeard < ElectionTimeout && !isStopping(now, member.key);
}

bool RaftCore::voterTimedOut(TimePoint now, const ReplicaMember &member) const
{
    const auto progress = m_progress.find(member.key);
    return m_policy.voterTimeout > Duration{0} && progress != m_progress.end() && now - progress->second.lastHeard >= m_policy.voterTimeout;
}

bool RaftCore::voterLeaves(TimePoint now, const ReplicaMember &member) const
{
    return voterTimedOut(now, member) || (changesVoters() && isStopping(now, member.key));
}

// Number of other voters in the data centre of a member.
std::size_t RaftCore::otherVotersInDataCentre(const ReplicaMember &member) const
{
    const auto place = [this](const ReplicaMember &each) {
        const auto at = m_dataCentres.find(each.key.id);
        return at != m_dataCentres.end() ? at->second : DataCentreId{0};
    };
    return static_cast<std::size_t>(std::count_if(config().members.begin(), config().members.end(), [&](const ReplicaMember &other) {
        return other.voter && other.key != member.key && place(other) == place(member);
    }));
}

void RaftCore::proposeConfig(TimePoint now, const ClusterConfig &config)
{
    append(EntryKind::Config, encodeClusterConfig(config));
    std::erase_if(m_progress, [&config](const auto &entry) {
        return std::none_of(config.members.begin(), config.members.end(), [&entry](const ReplicaMember &member) {
            return member.key == entry.first;
        });
    });
    for (const ReplicaMember &member : config.members) {
        if (member.key != m_self && !m_progress.contains(member.key)) {
            m_progress[member.key] = {LogIndex{0}, LogIndex{1}, 0, now, {}};
        }
    }
    advanceCommit();
}

bool RaftCore::configPending() const
{
    return !m_configs.empty() && m_configs.back().index > m_commit;
}

} // namespace Robinrail
