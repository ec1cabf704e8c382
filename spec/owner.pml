/* SPDX-License-Identifier: MIT
 *
 * Owner: at-most-once execution and fencing on the data path. A request that must not be repeated is executed only by the
 * balancer incarnation that its connection id names, although views of the membership differ and may change at any time.
 *
 * Balancer 0 owns the flow; balancer 1 is a peer that may consider 0 gone, rightly or not; balancer 2 is the
 * successor of 0 in a graceful shutdown. The network may duplicate and delay the request's packet. The owner
 * may run the request in a target slot of its own, or offload it to a peer, which deduplicates by attempt.
 *
 * Properties (assertions):
 *   B1  the request is executed at most once
 *   B2  a request that was reported as not run has not been executed, and never is later
 *   B3  a stopped owner executes nothing on a flow that it has handed over
 *
 * Mutations: MUTATE_ADOPTER_RUNS (B1), MUTATE_NO_WINDOW (B1), MUTATE_EARLY_NOT_RUN (B2),
 * MUTATE_NO_FENCE (B1 or B3), MUTATE_OFFLOAD_TWICE (B1).
 */

#define COPIES 3

byte executions = 0;
bool reportedNotRun = false;
bool ownerAlive = true;
bool ownerHasFlow = true;
bool successorHasFlow = false;
bool ownerRecorded = false;        /* The request id is recorded in the owner's window. */
bool successorRecorded = false;    /* The same for the successor's copy of the window. */
bool handoverSent = false;
bool handedOverRecorded = false;   /* The window as it was sent in the handover. */
bool offloaded = false;            /* An attempt was sent to the peer. */
byte offloadCopies = 0;
bool peerRecordedAttempt = false;

inline executeRequest() {
    executions++;
    assert(executions <= 1);        /* B1 */
    assert(!reportedNotRun)         /* B2 */
}

inline reportNotRun() {
    reportedNotRun = true;
    assert(executions == 0)         /* B2 */
}

/* The owner receives the request: it executes it, offloads it, or refuses it. */
inline ownerReceives() {
    if
#ifdef MUTATE_NO_WINDOW
    :: true ->
#else
    :: !ownerRecorded ->
#endif
        ownerRecorded = true;
        if
        :: executeRequest()
        :: offloaded = true; offloadCopies = 2
        :: reportNotRun()
        fi
    :: ownerRecorded -> skip            /* A duplicate: the cached answer is resent. */
    fi
}

inline successorReceives() {
    if
    :: !successorRecorded ->
        successorRecorded = true;
        if
        :: executeRequest()
        :: reportNotRun()
        fi
    :: else -> skip
    fi
}

/* A copy of the packet is delivered to any balancer. */
proctype deliverCopy() {
    atomic {
        if
        /* The owner itself, or a peer that believes it alive and relays. */
        :: ownerAlive && ownerHasFlow -> ownerReceives()
        :: ownerAlive && !ownerHasFlow ->
#ifdef MUTATE_NO_FENCE
            ownerReceives()
#else
            if
            :: successorHasFlow -> successorReceives()
            :: else -> skip
            fi
#endif
        :: successorHasFlow -> successorReceives()
        /* A peer that considers the owner gone, rightly or not: the outcome is unknown. */
        :: true ->
#ifdef MUTATE_ADOPTER_RUNS
            executeRequest()
#else
            skip
#endif
        :: true -> skip             /* Lost. */
        fi
    }
}

/* The peer receives the offloaded attempt twice. It may execute it, or decline it for good. */
proctype peer() {
    do
    :: atomic {
        offloadCopies > 0 ->
        offloadCopies--;
        if
#ifdef MUTATE_OFFLOAD_TWICE
        :: true ->
#else
        :: !peerRecordedAttempt ->
#endif
            peerRecordedAttempt = true;
            if
            :: executeRequest()
            :: if                   /* Declined, and the owner was told: it was certainly not executed. */
               :: ownerAlive -> reportNotRun()
               :: else -> skip
               fi
            fi
        :: peerRecordedAttempt -> skip
        fi
       }
    :: atomic { offloadCopies == 0 && _nr_pr <= 2 -> break }
    :: timeout -> break
    od
}

/* The owner refuses an offloaded request whose answer it has not received. */
proctype refuseOffloaded() {
    atomic {
        if
        :: offloaded && ownerAlive ->
#ifdef MUTATE_EARLY_NOT_RUN
            reportNotRun()
#else
            skip                    /* Unknown. */
#endif
        :: else -> skip
        fi
    }
}

/* Graceful shutdown: first fence the flow, then hand its window over. */
proctype stopOwner() {
    atomic {
        if
        :: ownerAlive && !offloaded ->
#ifndef MUTATE_NO_FENCE
            ownerHasFlow = false;
#else
            ownerHasFlow = false;
#endif
            handoverSent = true;
            handedOverRecorded = ownerRecorded
        :: skip
        fi
    }
    atomic {
        if
        :: handoverSent -> successorRecorded = handedOverRecorded; successorHasFlow = true
        :: else -> skip
        fi
    }
}

proctype killOwner() {
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
        :: i < COPIES -> run deliverCopy(); i++
        :: else -> break
        od;
        run peer();
        run refuseOffloaded();
        run stopOwner();
        run killOwner()
    }
}
