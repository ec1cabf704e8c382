// SPDX-License-Identifier: MIT
// Raft core, members: who joins, who votes and who leaves, one change at a time (Ongaro 2014, section 4).
#include "raft_core.h"

#include "codec.h"

#include <algorithm>
#include <cassert>

namespace Robinrail {

namespace {

// A joiner that did not ask for this long is not taken in.
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

// Takes joiners in, one step at a time: first as learners; when one has caught up, the voter that its
// replica was on its lost disk is removed; then it becomes a voter. So a repaired replica counts only
// with a full log, and the loss of a second one after that loses nothing. Learners count in no quorum, so one
// step takes in all that ask: at the first start of a fleet that is every replica but the seeds.
void RaftCore::updateMembership(TimePoint now)
{
    if (configPending() || termAt(m_commit) != m_hard.term) {
        return;
    }
    std::erase_if(m_joiners, [now](const auto &joiner) {
        return now - joiner.second >= JoinRequestLifetime;
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

// A replica's vote on a lost disk is gone for good, so that voter leaves before its successor votes. A voter
// that is only silent may return, so there the spare votes first: while four vote, the silent one's return
// still makes a majority if a third voter is lost at that very moment.
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
        return member.voter && voterTimedOut(now, member);
    });
    if (spare == nullptr || (voterCount() >= m_policy.desiredVoters && !voterLost)) {
        return false;
    }
    spare->voter = true;
    return true;
}

// Of more voters than are wanted, one that is silent becomes a learner, else one of the most crowded data centre.
bool RaftCore::demoteVoter(TimePoint now, ClusterConfig &config) const
{
    if (voterCount() <= m_policy.desiredVoters) {
        return false;
    }
    ReplicaMember *retired = nullptr;
    const auto rank = [&](const ReplicaMember &member) {
        return std::pair(voterTimedOut(now, member), otherVotersInDataCentre(member));
    };
    for (ReplicaMember &member : config.members) {
        const bool eligible = member.voter && member.key != m_self;
        if (eligible && (retired == nullptr || rank(member) > rank(*retired))) {
            retired = &member;
        }
    }
    retired->voter = false;
    return true;
}

// A learner leaves when it was silent for long, or soon when its replica has another disk by now.
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
    return caughtUp && now - progress->second.lastHeard < ElectionTimeout;
}

bool RaftCore::voterTimedOut(TimePoint now, const ReplicaMember &member) const
{
    const auto progress = m_progress.find(member.key);
    return m_policy.voterTimeout > Duration{0} && progress != m_progress.end() && now - progress->second.lastHeard >= m_policy.voterTimeout;
}

// Voters in the data centre of a member, itself left out.
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
