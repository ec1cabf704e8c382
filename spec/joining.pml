/* SPDX-License-Identifier: MIT
 *
 * Joining: a replica with an empty disk is added as a learner and receives the log, whichever replica leads, while links
 * come up and break in any order, messages are lost and the leader changes.
 *
 * Replica 0 is the seed in the learner's settings, replica 1 is not in them. The learner dials the seed and, once it holds
 * the log, which contains the members, replica 1 too. A replica dials the learner once it knows it as a member. The leader
 * counts a message as sent even without a link. The learner rejects appends that do not match its log, and a rejection
 * moves the leader's next index back. Finally, all links that are dialled are up and no message is lost for STABLE_HEARTBEATS
 * heartbeats.
 *
 * Property (assertion):
 *   J1  after that, the learner holds the log
 *
 * Mutations: MUTATE_DIALLED_ONLY, MUTATE_NO_STEP_BACK, MUTATE_NO_FORWARD (all J1).
 */

#ifndef STEPS
#define STEPS 14
#endif

#define STABLE_HEARTBEATS 4

byte leader = 0;
bool member[2];        /* The replica knows the learner as a member. */
bool dialledBy[2];     /* The replica's link to the learner is up. */
bool dialledTo[2];     /* The learner's link to the replica is up. */
bool sent = false;     /* The leader counts the log as sent. */
bool hasLog = false;    /* The learner holds the log. */
byte steps = 0;

#ifdef MUTATE_DIALLED_ONLY
#define TO_LEARNER(r) (dialledBy[r])
#define FROM_LEARNER(r) (dialledTo[r])
#else
#define TO_LEARNER(r) (dialledBy[r] || dialledTo[r])
#define FROM_LEARNER(r) (dialledTo[r] || dialledBy[r])
#endif

inline addLearner() {
    if
    :: !member[leader] -> member[leader] = true; sent = false
    :: else -> skip
    fi
}

/* The learner sends a join request to the seed, which forwards it to the leader. */
inline requestJoin() {
    if
    :: FROM_LEARNER(0) && leader == 0 -> addLearner()
#ifndef MUTATE_NO_FORWARD
    :: FROM_LEARNER(0) && leader == 1 -> addLearner()
#endif
    :: else -> skip
    fi
}

inline rejectAppend() {
#ifndef MUTATE_NO_STEP_BACK
    if
    :: FROM_LEARNER(leader) -> sent = false
    :: else -> skip
    fi
#else
    skip
#endif
}

/* One append or heartbeat of the leader, and the reply to it, if there are links for them. */
inline sendAppend() {
    if
    :: member[leader] ->
        if
        :: TO_LEARNER(leader) && !sent -> hasLog = true; sent = true
        :: TO_LEARNER(leader) && sent && !hasLog -> rejectAppend()
        :: else -> sent = true
        fi
    :: else -> skip
    fi
}

inline randomStep() {
    if
    :: true -> requestJoin()
    :: true -> sendAppend()
    :: member[leader] -> sent = true                       /* A message is lost in transit. */
    :: member[leader] -> member[1 - leader] = true         /* The configuration entry with the learner is replicated. */
    :: leader = 1 - leader; sent = true                    /* A new leader assumes that all logs match its own. */
    :: dialledTo[0] = !dialledTo[0]
    :: hasLog || dialledTo[1] -> dialledTo[1] = !dialledTo[1]
    :: member[0] || dialledBy[0] -> dialledBy[0] = !dialledBy[0]
    :: member[1] || dialledBy[1] -> dialledBy[1] = !dialledBy[1]
    fi
}

inline establishLinks() {
    dialledTo[0] = true;
    dialledTo[1] = hasLog;
    dialledBy[0] = member[0];
    dialledBy[1] = member[1]
}

active proctype Cluster() {
    byte heartbeats = 0;
    do
    :: steps < STEPS -> atomic { randomStep(); steps++ }
    :: break
    od;
    do
    :: heartbeats < STABLE_HEARTBEATS -> atomic { establishLinks(); requestJoin(); establishLinks(); sendAppend(); heartbeats++ }
    :: else -> break
    od;
    assert(hasLog)
}
