/* SPDX-License-Identifier: MIT
 *
 * Owner: the fence of the data path. A request that must not be repeated is run only by the balancer run
 * that its connection id names, under views of the membership that differ and change at any time.
 *
 * Balancer 0 owns the flow; balancer 1 is a peer that may take 0 for gone, rightly or not; balancer 2 is
 * the named successor of a planned stop. The network may duplicate and delay the request's packet. The
 * owner may send the request to target slots at itself or offload it to a peer, which dedups by attempt.
 *
 * Properties (assertions):
 *   B1  the request runs at most once
 *   B2  "not run" is true, at any later time, too
 *   B3  a stopped owner runs nothing after it has handed the flow on
 *
 * Mutations: MUTATE_ADOPTER_RUNS (B1), MUTATE_NO_WINDOW (B1), MUTATE_EARLY_NOT_RUN (B2),
 * MUTATE_NO_FENCE (B1 or B3), MUTATE_OFFLOAD_TWICE (B1).
 */

#define COPIES 3

byte runs = 0;
bool saidNotRun = false;
bool ownerAlive = true;
bool ownerHasFlow = true;
bool successorHasFlow = false;
bool ownerTook = false;        /* The id stands in the owner's window. */
bool successorTook = false;    /* The id stands in the successor's copy of the window. */
bool handoverSent = false;
bool handoverTook = false;     /* The window as it was packed. */
bool offloaded = false;        /* An attempt is on its way to the peer. */
byte offloadCopies = 0;
bool peerSawAttempt = false;

inline runIt() {
    runs++;
    assert(runs <= 1);              /* B1 */
    assert(!saidNotRun)             /* B2 */
}

inline sayNotRun() {
    saidNotRun = true;
    assert(runs == 0)               /* B2 */
}

/* The owner takes the request: it runs it itself, offloads it, or refuses it. */
inline ownerTakes() {
    if
#ifdef MUTATE_NO_WINDOW
    :: true ->
#else
    :: !ownerTook ->
#endif
        ownerTook = true;
        if
        :: runIt()
        :: offloaded = true; offloadCopies = 2
        :: sayNotRun()
        fi
    :: ownerTook -> skip            /* A duplicate: the same answer again. */
    fi
}

inline successorTakes() {
    if
    :: !successorTook ->
        successorTook = true;
        if
        :: runIt()
        :: sayNotRun()
        fi
    :: else -> skip
    fi
}

/* A copy of the packet reaches any balancer. */
proctype copy() {
    atomic {
        if
        /* The owner itself, or a peer that believes it alive and relays. */
        :: ownerAlive && ownerHasFlow -> ownerTakes()
        :: ownerAlive && !ownerHasFlow ->
#ifdef MUTATE_NO_FENCE
            ownerTakes()
#else
            if
            :: successorHasFlow -> successorTakes()
            :: else -> skip
            fi
#endif
        :: successorHasFlow -> successorTakes()
        /* A peer that takes the owner for gone, whether it is or not: the outcome is unknown. */
        :: true ->
#ifdef MUTATE_ADOPTER_RUNS
            runIt()
#else
            skip
#endif
        :: true -> skip             /* Lost. */
        fi
    }
}

/* The peer gets the offload, twice. It may run it, or decline it once and for all. */
proctype peer() {
    do
    :: atomic {
        offloadCopies > 0 ->
        offloadCopies--;
        if
#ifdef MUTATE_OFFLOAD_TWICE
        :: true ->
#else
        :: !peerSawAttempt ->
#endif
            peerSawAttempt = true;
            if
            :: runIt()
            :: if                   /* Declined, and the owner heard it: it surely did not run. */
               :: ownerAlive -> sayNotRun()
               :: else -> skip
               fi
            fi
        :: peerSawAttempt -> skip
        fi
       }
    :: atomic { offloadCopies == 0 && _nr_pr <= 2 -> break }
    :: timeout -> break
    od
}

/* The owner gives up an offloaded request whose answer it has not got. */
proctype giveUp() {
    atomic {
        if
        :: offloaded && ownerAlive ->
#ifdef MUTATE_EARLY_NOT_RUN
            sayNotRun()
#else
            skip                    /* Unknown. */
#endif
        :: else -> skip
        fi
    }
}

/* Planned stop: fence first, then hand the window on. */
proctype stop() {
    atomic {
        if
        :: ownerAlive && !offloaded ->
#ifndef MUTATE_NO_FENCE
            ownerHasFlow = false;
#else
            ownerHasFlow = false;
#endif
            handoverSent = true;
            handoverTook = ownerTook
        :: skip
        fi
    }
    atomic {
        if
        :: handoverSent -> successorTook = handoverTook; successorHasFlow = true
        :: else -> skip
        fi
    }
}

proctype kill() {
    atomic {
        if
        :: ownerAlive = false
        :: skip
        fi
    }
}

init {
    byte i = 0;
    atomic {
        do
        :: i < COPIES -> run copy(); i++
        :: else -> break
        od;
        run peer();
        run giveUp();
        run stop();
        run kill()
    }
}
