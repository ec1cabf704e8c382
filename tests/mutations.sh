#!/usr/bin/env bash
# Mutation tests: disables one mechanism at a time in a copy of the tree and expects the named test cases to fail. Not part
# of CI, as it builds the library once for each mutation. Usage: tests/mutations.sh [PART-OF-A-NAME]
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | tar -cf - -T - | tar -xf - -C "$copy"
cd "$copy" || exit 1
export RC_PARAMS="seed=20261202 max_success=300 max_size=60"
scripts/build.sh release --target robinrail_tests > /dev/null || exit 1

wrong=0
only=${1:-}
# mutate NAME FILE FROM TO TEST-CASES: replaces the first occurrence of a text in a file, then builds and runs the test cases.
mutate() {
    local name=$1 file=$2 from=$3 to=$4 cases=$5
    [[ $name == *"$only"* ]] || return 0
    cp "$file" "$copy/original"
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
    if cmp -s "$file" "$copy/original"; then
        echo "failed: $name: the text to replace was not found"
        wrong=$((wrong + 1))
        return
    fi
    if ! scripts/build.sh release --target robinrail_tests > "$copy/build.log" 2>&1; then
        echo "failed: $name: the mutated tree does not build"
        grep -m 3 'error' "$copy/build.log"
        wrong=$((wrong + 1))
    elif timeout 300 build/release/robinrail_tests --test-case="$cases" > "$copy/run.log" 2>&1; then
        echo "failed: $name: the tests pass without the mechanism"
        wrong=$((wrong + 1))
    else
        echo "ok: $name: the tests detect the mutation"
    fi
    cp "$copy/original" "$file"
}

mutate "no request window" src/request_engine.cpp \
    'if (flow->window.take(request.request) != RequestAge::Fresh) {' \
    'if (flow->window.take(request.request) != RequestAge::Fresh && (isPending(key) || !m_settled.find(key).empty())) {' \
    '*repeated packet*,*tenth of the packets*'
mutate "no check of the service in the id" src/balancer_core.cpp 'if (id->service != service) {' 'if (id->service != service && value(service) == 0) {' \
    '*never reaches another*'
mutate "no check of the MAC" src/connection_id.cpp \
    'if (sodium_memcmp(mac.data(), sealed.data() + ConnectionIdContentSize, mac.size()) != 0) {' 'if (mac.empty()) {' '*1.2 million*'
mutate "adopters run requests of the old id" src/balancer_core.cpp \
    'm_requests.refuseUncertain(id.flow, packet.caller, request->request, RefusalReason::OwnerGone);' \
    'm_requests.accept(now, flowId, packet.caller, *request);' '*two views*,*owner is gone*'
mutate "drain of a target ignored" src/target_table.cpp \
    'target.announcement.draining = announcement.draining || wasDraining;' 'target.announcement.draining = wasDraining;' \
    '*every target is replaced*,*draining is final*'
mutate "no rebinding of feeds" src/feed_engine.cpp 'if (flow.target != target || flow.attachment == 0) {' \
    'if (flow.target == target || flow.attachment == 0) {' '*every target is replaced*,*goes on at another target*'
mutate "no moving forward of feeds" src/feed_engine.cpp 'if (acknowledged >= flow.nextSequence) {' \
    'if (acknowledged > flow.nextSequence + 1000000) {' '*every balancer is stopped*,*freezes and returns*'
mutate "no adoption from a stopping owner" src/balancer_core.cpp 'if (onOwnerStopping(now, packet, *id, message)) {' \
    'if (false && onOwnerStopping(now, packet, *id, message)) {' '*every balancer is stopped*'
mutate "no fence at the handover" src/handover.cpp \
    'return sent != m_sent.end() ? std::optional(sent->second.to) : std::nullopt;' \
    'return sent == m_sent.end() ? std::optional(BalancerKey{}) : std::nullopt;' '*stopping balancer hands*'
mutate "no deduplication of offloads" src/offload_windows.cpp \
    'if (attempt.serial <= window.floor || !window.seen.emplace(attempt.serial, now).second) {' \
    'if (attempt.serial <= window.floor) {' '*offload runs at most once*,*tenth of the packets*'
mutate "answers complete with any part" src/answer_assembly.h 'return m_received == m_count ?' 'return m_received > 0 ?' \
    '*with all its parts*,*complete only with all parts*'
mutate "a vote for everybody" src/raft_election.cpp \
    'const bool free = value(m_hard.votedFor.id) == 0 || m_hard.votedFor == from;' 'const bool free = true;' '*replicas keep every promise*'
mutate "votes for short logs" src/raft_election.cpp \
    'const bool upToDate = std::pair(request.lastTerm, request.lastIndex) >= std::pair(lastTerm(), lastIndex());' \
    'const bool upToDate = true;' '*replicas keep every promise*'
mutate "commit without a quorum" src/raft_replication.cpp 'const LogIndex agreed = matches[matches.size() / 2];' \
    'const LogIndex agreed = matches.front();' '*replicas keep every promise*'
mutate "voter before it caught up" src/raft_members.cpp \
    'return caughtUp && now' 'return (caughtUp || !caughtUp) && now' '*loss of a second one*,*replicas keep every promise*'
mutate "steering: openings that waited are handed on" src/flow_steering.cpp 'if (packet.waited >= timeUntilNextCopy(packet.copy)) {' \
    'if (packet.waited >= timeUntilNextCopy(packet.copy) && packet.reset) {' '*waited until its next copy*'
mutate "steering: a copy right behind tells silence" src/flow_steering.cpp '|| tooSoon) &&' '|| (tooSoon && packet.reset)) &&' '*right behind the first*'
mutate "steering: what is not known yet is dropped" src/flow_steering.cpp \
    'm_informed ? reset(SteeringReason::NoRoute, packet) : hold(SteeringReason::NotInformed)' \
    'm_informed ? reset(SteeringReason::NoRoute, packet) : drop(SteeringReason::NotInformed)' '*holds what it does not know*'
mutate "steering: former lifetimes end at the first announcement only" src/target_directory.cpp \
    'known == nullptr || known->phase != TargetPhase::Left ||' 'known == nullptr ||' '*restarts at once*'
mutate "steering: any lifetime ends the others at its address" src/target_directory.cpp 'entry.firstHeard < since' '(entry.firstHeard < since || entry.firstHeard >= since)' '*held up ends no successor*'
mutate "steering: an unknown lifetime is the youngest" src/target_directory.cpp 'std::min(before, MaxCountedIntervals)' \
    'std::min(before, MaxCountedIntervals / 100'"'"'000)' '*held up ends no successor*'
mutate "steering: replicas do not tell since when a lifetime is known" src/target_directory.cpp \
    'std::min(entry.firstHeard, now - news.known)' 'entry.firstHeard' '*agree which is the older*'
mutate "steering: one replica's word makes a target gone" src/target_probe.h 'return finders.size() >= m_needed;' \
    'return finders.size() + m_needed > 0;' '*enough different replicas*,*troubles no flow*'
mutate "steering: signs of life do not speak against a target's end" src/steering_targets.cpp \
    '|| now - at->second.alive < RecentLife' '' '*showed life through*'
mutate "steering: a probe during a standstill counts" src/target_prober.cpp '&& standstills == m_standstills' \
    '&& standstills <= m_standstills' '*stood still during a probe*'
mutate "steering: probes count where no target takes any" src/target_prober.cpp '&& m_anyAnswered &&' '&&' '*no target ever answered*'
mutate "steering: any lost packet sets off probes" src/target_probe.h '(target.overdue ? 1 : ReportsForProbe)' \
    '1' '*lost here and there*'
mutate "steering: what was found long ago counts" src/target_probe.h 'return now - each.second.at >= ProbeLifetime;' \
    'return now < each.second.at;' '*enough different replicas*'
mutate "steering: life during resets does not end them" src/steering_targets.cpp \
    '    target.flowsOver = false;' '' '*keeps those that are left*'
mutate "steering: removed routes are never forgotten" src/flow_steering.cpp 'return now - seen >= RememberLeft;' \
    'return now < seen;' '*forgotten once its flows*'
mutate "steering: messages of other clusters are taken" src/replica_driver.cpp \
    'if (cluster != 0 && envelope.cluster != cluster) {' 'if (cluster != 0 && envelope.cluster == 0) {' '*joins the first cluster*'
mutate "links: any number of handshakes at once" src/dial_schedule.h 'm_handshakes < MaxHandshakes ||' 'm_handshakes >= 0 ||' \
    '*few attempts at once*,*two handshakes at once*'
mutate "links: handshakes without an end are remembered" src/dial_schedule.h '|| now - m_lastHandshake >= HandshakeMemory);' ');' \
    '*few attempts at once*,*two handshakes at once*'
mutate "links: a dark peer keeps the next attempt back" src/dial_schedule.h 'm_due = now + std::min(' 'm_due = now + 8 * std::min(' '*within 50 ms*'
mutate "links: answers go on dialled links alone" src/node_links.cpp 'if (const ReplicaId replica = link.replica(); value(replica) != 0) {' \
    'if (const ReplicaId replica = link.dialledTo; value(replica) != 0) {' '*first append is lost*'
mutate "links: the dialled link is taken, silent or not" src/node_links.cpp 'return std::pair(link.times.heard, value(link.dialledTo));' \
    'return std::pair(value(link.dialledTo), link.times.heard);' '*the one that fell silent*'
mutate "links: secure links may fall silent for good" src/secure_links.cpp 'link.times.silent(now) && (link.pinged' \
    'link.times.silent(now) && (link.tag == ~std::uint64_t{0}' '*secure link that falls silent*'
mutate "links: every connection is closed after its answer" src/http.cpp \
    'm_response.keep_alive(m_parser->get().keep_alive() && !reply.last);' 'm_response.keep_alive(false);' '*keeps its connection*'
mutate "links: the longest open connection is closed, busy or not" src/http.cpp 'if (connection->closeIfUnused()) {' \
    'if (connection == nullptr) {' '*flood of connections*'
mutate "directory: a page tells more than it holds" src/directory_log.cpp 'slice.upTo = std::prev(at)->first;' \
    'slice.upTo = m_newest;' '*what changed after any number*,*ends alike*'
mutate "directory: a target that was forgotten is passed over" src/directory_log.cpp 'return number >= m_forgotten;' \
    'return number + m_forgotten >= number;' '*tell all that was missed*,*stands still while*'
mutate "directory: numbers of another life go on" src/directory_log.cpp 'life == m_life && after <= m_newest' \
    'life != 0 && after <= m_newest' '*tell all that was missed*,*ends alike*'
mutate "directory: who is not listed stays" src/directory_follower.cpp 'm_targets.keepVouched(replica, std::exchange(progress.listed, {}));' \
    'progress.listed.clear();' '*from the same life*,*ends alike*'
mutate "directory: pages go out however slow the link" src/directory_publisher.h '&& links.buffered(id) < MaxBuffered' '' \
    '*leave room on its link*'
mutate "digest: what differs is not asked for" src/directory_reconciler.cpp 'if (query.wanted.empty()) {' 'if (m_buckets != 0) {' \
    '*few targets that differ*,*each target once*'
mutate "digest: all replicas are asked at once" src/directory_reconciler.cpp 'if (m_asked || m_waiting.empty()) {' 'if (m_waiting.empty()) {' \
    '*each target once*'
mutate "digest: one that fell silent is waited for" src/directory_reconciler.cpp 'now - m_progressAt >= ReconcileTimeout' 'now < m_progressAt' \
    '*keeps no other from being asked*'
mutate "drain: confirmed for all lifetimes" src/drain_confirmations.cpp 'at->second.lifetime == lifetime && at->second.phase >= phase' \
    'at->second.phase >= phase' '*confirmed once*'
mutate "drain: never taken for confirmed" src/drain_confirmations.cpp 'm_confirmed[lifetime.key] = {lifetime, open.phase};' '' \
    '*confirmed once*,*follows the time that it takes*'
mutate "loss: the word of one data centre is enough" src/loss_tolerance.h 'places.size() > dataCentres' '!places.empty()' \
    '*data centre alone*,*all replicas of one data centre*'
mutate "beats: the word of a lost link stays" src/heard_targets.cpp 'm_links.erase(link);' 'm_links.try_emplace(link);' '*lost link ends that word*'
mutate "beats: when a missed target was heard is left out" src/target_directory.cpp 'std::min(found->second.heard, now - target.age)' \
    'std::max(found->second.heard, now - target.age)' '*silent target is found elsewhere*'
mutate "probers: those of one data centre first" src/prober_choice.h 'taken[place.dataCentre]++' '0 * taken[place.dataCentre]++' \
    '*same few for all*'
mutate "replica choice: a replica without a quorum is followed on" src/replica_choice.cpp 'now - at->second.confirmedAt < HealthyFor' \
    'at->second.confirmedAt <= now' '*lost its quorum*'
mutate "replica choice: all return at once" src/replica_choice.cpp 'now >= m_states.at(replica).returnAt' 'now >= TimePoint{}' '*one after the other*'
mutate "replica choice: the new view holds before it is whole" src/replica_choice.cpp 'if (m_next && m_states.at(*m_next).completed) {' \
    'if (m_next) {' '*until another has told all*'
mutate "version watch: a lagging replica vouches" src/version_watch.h 'caughtUp && own.reaches(m_highest)' 'caughtUp && (own.reaches(m_highest) || caughtUp)' '*lags behind another*'
mutate "no compare-and-set on versions" src/control_state.cpp 'if (propose.baseVersion != latestVersion()) {' \
    'if (propose.baseVersion > latestVersion()) {' '*equal numbers*'
mutate "no memory of changes" src/control_state.cpp 'if (const ChangeResult *known = resultOf(change.change)) {' \
    'if (const ChangeResult *known = resultOf({})) {' '*applies once*,*equal numbers*'
mutate "bundles go back" src/rollout.cpp 'if (offer.version <= m_version) {' 'if (offer.version == m_version) {' '*only upward*'
mutate "a torn record is taken" src/raft_storage.cpp 'if (loadInteger<std::uint64_t>(bytes, at + 8) != checksum(length, payload)) {' \
    'if (length > MaxRecord) {' '*damaged record*,*torn record*'
mutate "raft: hearing the leader is enough" src/raft_replication.cpp 'if (m_commit >= request.commit) {' 'if (m_commit <= request.commit) {' \
    '*does not vouch for its table before*'
mutate "drains: a drained data centre gets new flows" src/flow_steering.cpp '&& !m_routes.isDrained(target.record.dataCentre)' '' '*drained data centre gets no new flows*'
mutate "drains: a taken back data centre is warm" src/flow_steering.cpp 'now + m_routes.longestWarmup()' 'now' '*taken back warm up*'
mutate "drains: an announcement ends the warm-up" src/steering_targets.cpp 'std::max(target.warmAt, now + news.record.warmupLeft)' \
    'now + news.record.warmupLeft' '*taken back warm up*'
mutate "drains: a late copy finds an open flow a second target" src/flow_steering.cpp 'if (late && first != nullptr && !stays) {' \
    'if (late && first == nullptr && !stays) {' '*does not take an open flow away*'
mutate "warm-up: a limited cold target is used" src/flow_steering.cpp '&& !(spareCold && context.now < target.warmAt)' '&& (spareCold || !spareCold)' \
    '*whose warm-up is limited*'
mutate "births: a later lifetime is late news" src/target_record.h 'return born > other.born;' 'return born < other.born;' '*starts again under its key*'
mutate "births: receipts of any lifetime confirm" src/target_record.h 'auto operator<=>(const TargetLifetime &) const = default;' \
    'auto operator<=>(const TargetLifetime &other) const { return key <=> other.key; } bool operator==(const TargetLifetime &other) const { return key == other.key; }' \
    '*former lifetime*'
mutate "gone: flows that are new here go on to a gone target" src/flow_steering.cpp 'if (target->gone(now) && packet.dataBytes > 0) {' \
    'if (target->gone(now) && packet.dataBytes > 5000) {' '*new here is reset*'
mutate "gone: data that began elsewhere is a sign of life" src/flow_steering.cpp 'if (answered && !unheard) {' 'if (answered || unheard) {' '*its data began elsewhere*'
mutate "choice: the least used by own counts" src/flow_steering.h 'using FlowSteering = BasicFlowSteering<TwoChoices>;' \
    'using FlowSteering = BasicFlowSteering<LeastUsedChoice>;' '*draws at most twice*'
echo "mutations that failed: $wrong"
[ "$wrong" -eq 0 ]
