/* SPDX-License-Identifier: MIT
 *
 * Drains: an operator empties a data centre and takes it back, in turns, each order sent until it is answered. A leader
 * commits orders to a log, a follower applies them late, and both offer the list that they hold, with its revision, to a
 * balancer, over links that keep their order and lose what is on its way.
 *
 * Properties (assertions):
 *   E1  once an order is answered, the log ends with its effect until the next order is sent
 *   E2  a balancer holds what the log said at its revision, and never goes back
 *   E3  a replica that vouches holds every order that was answered one time-out ago
 *
 * Mutations: MUTATE_ANSWER_HELD (E1: an order that finds its effect at a follower is answered without the log),
 * MUTATE_TAKE_ANY (E2: a balancer takes any list), MUTATE_SAME_REVISION (E2: taking back does not raise the revision),
 * MUTATE_VOUCH_BY_HEARING (E3: hearing the leader is enough).
 */

#ifndef ORDERS
#define ORDERS 3
#endif
#define LOG 5 /* One order may be committed twice. */

bool entry[LOG];       /* What the committed entries ask for. */
byte committed = 0;
byte applied = 0;      /* Of them, by the follower. */
byte told = 0;         /* The leader's commit index, as the follower last heard it. */
bool heard = false;    /* Within a time-out. */

byte revision[2];      /* Of the leader's list, and the follower's. */
bool drained[2];
bool meaning[LOG];     /* Of the list with a revision. */

byte sent = 0;         /* Orders; the odd ones drain. */
bool open = false;     /* The last one is not answered yet. */
byte answeredAt = 0;   /* Entries that were committed when the last order was answered. */
byte answeredLongAgo = 0;

byte held = 0;         /* The balancer's revision. */
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
        meaning[revision[who]] = order
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
    assert(held == 0 || view == meaning[held])
}

inline vouch() {
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
    :: atomic { told = committed; heard = true }             /* A heartbeat comes through. */
    :: atomic { heard = false; answeredLongAgo = answeredAt } /* A time-out passes without one. */
    :: atomic { vouch() }
    :: nfull(fromLeader) -> fromLeader!revision[0], drained[0]
    :: nfull(fromFollower) -> fromFollower!revision[1], drained[1]
    :: atomic { nempty(fromLeader) -> fromLeader?number, list; take(number, list); assert(held >= highest); highest = held }
    :: atomic { nempty(fromFollower) -> fromFollower?number, list; take(number, list); assert(held >= highest); highest = held }
    :: nempty(fromLeader) -> fromLeader?_, _
    :: nempty(fromFollower) -> fromFollower?_, _
    od
}
