/* SPDX-License-Identifier: MIT
 *
 * Opening packets: a caller sends up to three copies of an opening packet through a balancer, then data through this or
 * another one. Packets in both directions may be lost, delayed and reordered. Each target answers each copy that reaches it,
 * at any time. The caller's flow is with the target whose answer arrives first; its packets carry the token of the answer that
 * arrived last. One target may die. A balancer that restarts forgets the flow.
 *
 * Variant PINS: copies pass through two balancers, and the first one tells the other, in a pin, which target got the first copy.
 *
 * Assumptions: all copies pass through one balancer, or with PINS, each copy and each pin arrives or is lost before the next
 * copy is sent, pins are not lost, and a restart takes longer than an opening; a target is found gone only after it died and after its last answers
 * arrived, as a probe takes longer than the network delays a packet; a restart takes longer than that, too.
 *
 * Properties (assertions):
 *   O1  no packet of a flow that is open at a live target reaches another target
 *   O2  no packet reaches another target than the one whose answer the caller took, even if the flow's first packet is lost,
 *       unless that target has died
 *
 * Mutations: MUTATE_OTHER_TARGET: copies go to a target other than the first one; MUTATE_EARLY_GONE: a live target is found
 * gone; MUTATE_MOVE_OPENING: copies pass through two balancers, which shows that the first assumption is needed;
 * MUTATE_LATE_PIN, with PINS: a pin may arrive after the next copy. With O1_ONLY, O2 is not checked, so that a mutation must violate O1.
 */

#ifndef COPIES
#define COPIES 3
#endif
#ifndef DATA
#define DATA 4
#endif
#define NONE 2 /* No target; 0 and 1 are the targets. */

#ifdef PINS
#ifdef MUTATE_LATE_PIN
#define NEXT_COPY (openingsTo[0] == 0 && openingsTo[1] == 0)
#else
#define NEXT_COPY (openingsTo[0] == 0 && openingsTo[1] == 0 && pin == NONE)
#endif
#define RESTART (peer != NONE || copies == COPIES)
#else
#define NEXT_COPY true
#define RESTART true
#endif

/* The caller. */
byte copies = 0;       /* Opening packets sent. */
byte sent = 0;         /* Data packets sent. */
byte peer = NONE;      /* The target whose answer arrived first. */
byte token = NONE;     /* Of the answer that arrived last. */

/* The fabric. */
byte via = 0;          /* The balancer that gets the flow's packets. */
byte moves = 0;

/* The balancers. */
byte target[2] = NONE; /* Of the flow. */
bool open[2];          /* A packet after the opening was seen. */

/* The targets. */
bool dead[2];
bool gone[2];          /* Found gone by the replicas. */
byte openAt = NONE;    /* The target that received the end of the handshake. */

/* Packets in flight, by their destination. */
byte openingsTo[2];    /* Balancers. */
byte copiesTo[2];      /* Targets. */
byte answersOf[2];
byte dataTo[4];        /* 2 * balancer + token. */
byte pin = NONE;       /* From the first balancer to the second one. */

inline choose(balancer) {
    if
    :: !gone[0] -> target[balancer] = 0
    :: !gone[1] -> target[balancer] = 1
    fi
}

inline steerOpening(balancer) {
    if
    :: open[balancer] -> skip /* Goes to the target of the open flow. */
    :: !open[balancer] && target[balancer] == NONE ->
        choose(balancer)
#ifdef PINS
        ;
        if
        :: balancer == 0 -> pin = target[0]
        :: else -> skip
        fi
#endif
#ifdef MUTATE_OTHER_TARGET
    :: !open[balancer] && target[balancer] != NONE -> target[balancer] = 1 - target[balancer]
#else
    :: !open[balancer] && target[balancer] != NONE ->
        if
        :: gone[target[balancer]] -> choose(balancer)
        :: else -> skip
        fi
#endif
    fi;
    copiesTo[target[balancer]]++
}

inline steerData(balancer, named) {
    if
    :: open[balancer] -> skip /* Stays at its target whatever the token names. */
    :: else -> target[balancer] = named; open[balancer] = true
    fi;
    if
    :: dead[target[balancer]] -> skip
    :: else ->
        assert(openAt == NONE || dead[openAt] || openAt == target[balancer]); /* O1 */
#ifndef O1_ONLY
        assert(peer == target[balancer] || dead[peer]); /* O2 */
#endif
        if
        :: peer == target[balancer] -> openAt = peer
        :: else -> skip
        fi
    fi
}

inline receiveAnswer(from) {
    answersOf[from]--;
    token = from;
    if
    :: peer == NONE -> peer = from
    :: else -> skip
    fi
}

active proctype network()
{
    byte i;
    do
    /* The caller. */
    :: atomic { copies < COPIES && peer == NONE && NEXT_COPY -> copies++; openingsTo[via]++ }
    :: atomic { sent < DATA && peer != NONE -> sent++; dataTo[2 * via + token]++ }
    /* Each packet in flight arrives or is lost. */
    :: atomic {
        select(i : 0 .. 1);
        if
        :: openingsTo[i] > 0 ->
            openingsTo[i]--;
            if
            :: steerOpening(i)
            :: skip
            fi
        :: copiesTo[i] > 0 ->
            copiesTo[i]--;
            if
            :: !dead[i] -> answersOf[i]++
            :: skip
            fi
        :: answersOf[i] > 0 -> receiveAnswer(i)
        :: answersOf[i] > 0 -> answersOf[i]--
        :: dataTo[i] > 0 -> dataTo[i]--; steerData(0, i)
        :: dataTo[i] > 0 -> dataTo[i]--
        :: dataTo[2 + i] > 0 -> dataTo[2 + i]--; steerData(1, i)
        :: dataTo[2 + i] > 0 -> dataTo[2 + i]--
        :: else -> skip
        fi;
        i = 0
    }
#ifdef PINS
    :: atomic {
        pin != NONE ->
        if
        :: !open[1] && target[1] == NONE -> target[1] = pin
        :: else -> skip
        fi;
        pin = NONE
    }
#endif
    /* A target dies, and is found gone. */
    :: atomic { !dead[0] && !dead[1] -> dead[0] = true }
#ifdef MUTATE_EARLY_GONE
    :: atomic { !gone[0] && !gone[1] -> gone[0] = true }
#else
    :: atomic { dead[0] && !gone[0] && answersOf[0] == 0 -> gone[0] = true }
#endif
    /* Work on the first balancer moves the flow to the second one, and back after the restart. */
#if defined(MUTATE_MOVE_OPENING) || defined(PINS)
    :: atomic { via == 0 && moves == 0 && copies > 0 -> via = 1; moves++ }
#else
    :: atomic { via == 0 && moves == 0 && peer != NONE -> via = 1; moves++ }
#endif
    :: atomic {
        via == 1 && moves == 1 && RESTART ->
        via = 0;
        moves++;
        target[0] = NONE;
        open[0] = false;
        openingsTo[0] = 0;
        dataTo[0] = 0;
        dataTo[1] = 0
    }
    od
}
