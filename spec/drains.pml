/* SPDX-License-Identifier: MIT
 *
 * Drains: an operator alternately drains a data centre and cancels the drain, and sends each order until it is answered. A
 * leader commits orders to a log and a follower applies them later. Both send their current list with its revision to a
 * balancer, over links that keep messages in order and may lose those in flight.
 *
 * Properties (assertions):
 *   E1  once an order is answered, its effect is the state of the log until the next order is sent
 *   E2  a balancer holds the list that the log had at its revision, and its revision never decreases
 *   E3  a replica that confirms being current has applied every order that was answered at least one time-out ago
 *
 * Mutations: MUTATE_ANSWER_HELD (E1: an order whose effect is already in force at a follower is answered without the log),
 * MUTATE_TAKE_ANY (E2: a balancer applies any list), MUTATE_SAME_REVISION (E2: cancelling a drain does not increment the
 * revision), MUTATE_VOUCH_BY_HEARING (E3: a recent heartbeat of the leader is enough).
 */

#ifndef ORDERS
#define ORDERS 3
#endif
#define LOG 5 /* One order may be committed twice. */

bool entry[LOG];       /* The orders in committed entries; true drains. */
byte committed = 0;
byte applied = 0;      /* Number of entries that the follower has applied. */
byte told = 0;         /* The leader's commit index in its last heartbeat to the follower. */
bool heard = false;    /* A heartbeat arrived within the time-out. */

byte revision[2];      /* Of the leader's list and of the follower's. */
bool drained[2];
bool listAt[LOG];      /* The list at each revision. */

byte sent = 0;         /* Orders sent; odd ones drain. */
bool open = false;     /* The last order is not answered yet. */
byte answeredAt = 0;   /* Committed entries when the last order was answered. */
byte answeredLongAgo = 0;

byte held = 0;         /* The revision that the balancer holds. */
bool view = false;

chan fromLeader = [1] of { byte, bool };
chan fromFollower = [1] of { byte, bool };

#define wanted (sent % 2 == 1)

inline apply(who, order) {
    if
    :: drained[who] != order ->
        drained[who] = order;
#ifdef MUTATE_SAME_REVISION
        if
        :: order -> revision[who]++
        :: else -> skip
        fi;
#else
        revision[who]++;
#endif
        listAt[revision[who]] = order
    :: else -> skip
    fi
}

inline answer() {
    open = false;
    answeredAt = committed;
    assert(drained[0] == wanted) /* E1 */
}

inline commit() {
    entry[committed] = wanted;
    committed++;
    apply(0, wanted);
    if
    :: answer()
    :: skip /* The answer is lost; the order is sent again. */
    fi
}

inline take(number, list) {
#ifdef MUTATE_TAKE_ANY
    held = number;
    view = list;
#else
    if
    :: number > held -> held = number; view = list
    :: else -> skip
    fi;
#endif
    assert(held >= number);              /* E2 */
    assert(held == 0 || view == listAt[held])
}

inline confirmCurrent() {
    if
#ifdef MUTATE_VOUCH_BY_HEARING
    :: heard -> assert(applied >= answeredLongAgo)
#else
    :: heard && applied >= told -> assert(applied >= answeredLongAgo) /* E3 */
#endif
    :: else -> skip
    fi
}

active proctype all() {
    byte number;
    bool list;
    byte highest = 0;
end:
    do
    :: !open && sent < ORDERS -> atomic { sent++; open = true }
    :: open && committed < LOG - 1 -> atomic { commit() }
#ifdef MUTATE_ANSWER_HELD
    :: open && drained[1] == wanted -> atomic { answer() }
#endif
    :: applied < committed -> atomic { apply(1, entry[applied]); applied++ }
    :: atomic { told = committed; heard = true }             /* A heartbeat arrives. */
    :: atomic { heard = false; answeredLongAgo = answeredAt } /* The time-out passes without one. */
    :: atomic { confirmCurrent() }
    :: nfull(fromLeader) -> fromLeader!revision[0], drained[0]
    :: nfull(fromFollower) -> fromFollower!revision[1], drained[1]
    :: atomic { nempty(fromLeader) -> fromLeader?number, list; take(number, list); assert(held >= highest); highest = held }
    :: atomic { nempty(fromFollower) -> fromFollower?number, list; take(number, list); assert(held >= highest); highest = held }
    :: nempty(fromLeader) -> fromLeader?_, _
    :: nempty(fromFollower) -> fromFollower?_, _
    od
}
