/* SPDX-License-Identifier: MIT
 *
 * Joining: a replica with an empty disk is taken in and gets the log, whoever leads, through links that come up and break
 * in any order, messages that are lost, and a change of leader.
 *
 * Replica 0 is the seed that the learner was told of, replica 1 is not. The learner dials the seed, and once it holds the
 * log, which names the members, replica 1 too. A replica dials the learner once it knows it for a member. The leader counts
 * as sent what it sent, link or not; the learner refuses what does not follow on what it has, and a refusal sets the leader
 * back. In the end all links that somebody wants are up and nothing is lost for a few beats.
 *
 * Property (assertion):
 *   J1  then the learner holds the log
 *
 * Mutations: MUTATE_DIALLED_ONLY, MUTATE_NO_STEP_BACK, MUTATE_NO_FORWARD (all J1).
 */

#ifndef STEPS
#define STEPS 14
#endif

#define CALM_BEATS 4

byte leader = 0;
bool member[2];        /* This replica knows the learner for a member. */
bool dialledBy[2];     /* The replica's link to the learner is up. */
bool dialledTo[2];     /* The learner's link to the replica is up. */
bool sent = false;     /* The leader counts the log as sent. */
bool holds = false;    /* The learner holds the log. */
byte steps = 0;

#ifdef MUTATE_DIALLED_ONLY
#define TO_LEARNER(r) (dialledBy[r])
#define FROM_LEARNER(r) (dialledTo[r])
#else
#define TO_LEARNER(r) (dialledBy[r] || dialledTo[r])
#define FROM_LEARNER(r) (dialledTo[r] || dialledBy[r])
#endif

inline takeIn() {
    if
    :: !member[leader] -> member[leader] = true; sent = false
    :: else -> skip
    fi
}

/* The learner asks the seed, which hands the request on to its leader. */
inline ask() {
    if
    :: FROM_LEARNER(0) && leader == 0 -> takeIn()
#ifndef MUTATE_NO_FORWARD
    :: FROM_LEARNER(0) && leader == 1 -> takeIn()
#endif
    :: else -> skip
    fi
}

inline refused() {
#ifndef MUTATE_NO_STEP_BACK
    if
    :: FROM_LEARNER(leader) -> sent = false
    :: else -> skip
    fi
#else
    skip
#endif
}

/* One append or heartbeat of the leader and its answer, if both get through. */
inline beat() {
    if
    :: member[leader] ->
        if
        :: TO_LEARNER(leader) && !sent -> holds = true; sent = true
        :: TO_LEARNER(leader) && sent && !holds -> refused()
        :: else -> sent = true
        fi
    :: else -> skip
    fi
}

inline trouble() {
    if
    :: true -> ask()
    :: true -> beat()
    :: member[leader] -> sent = true                       /* A message was lost on its way. */
    :: member[leader] -> member[1 - leader] = true         /* The entry that names the learner is replicated. */
    :: leader = 1 - leader; sent = true                    /* A new leader believes that all have what it has. */
    :: dialledTo[0] = !dialledTo[0]
    :: holds || dialledTo[1] -> dialledTo[1] = !dialledTo[1]
    :: member[0] || dialledBy[0] -> dialledBy[0] = !dialledBy[0]
    :: member[1] || dialledBy[1] -> dialledBy[1] = !dialledBy[1]
    fi
}

inline linksUp() {
    dialledTo[0] = true;
    dialledTo[1] = holds;
    dialledBy[0] = member[0];
    dialledBy[1] = member[1]
}

active proctype Cluster() {
    byte beats = 0;
    do
    :: steps < STEPS -> atomic { trouble(); steps++ }
    :: break
    od;
    do
    :: beats < CALM_BEATS -> atomic { linksUp(); ask(); linksUp(); beat(); beats++ }
    :: else -> break
    od;
    assert(holds)
}
