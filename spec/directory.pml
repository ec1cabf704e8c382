/* SPDX-License-Identifier: MIT
 *
 * Directory: a follower of a replica's target directory receives numbered pages, through lost links, a restart of the
 * replica that loses its memory, and targets that end and are removed at any time.
 *
 * Two targets; a page holds one. A target is unknown (0), alive (1) or has left (2). A target that left never returns, but
 * a delayed announcement may make a replica that lost its memory take it for alive.
 * The link keeps pages in order and loses all pages in flight when it breaks.
 *
 * Properties (assertions):
 *   D1  a follower that has applied all pages holds exactly those targets alive that the replica holds alive, except for
 *       those that it knows to have left
 *   D2  and knows of each target that left and was not removed
 *   D3  a target that left never counts as alive again
 *
 * Mutations: MUTATE_SKIP_NUMBER (D1), MUTATE_OLD_LIFE (D1), MUTATE_FORGET_QUIETLY (D1), MUTATE_KEEP_UNLISTED (D1),
 * MUTATE_REVIVE (D3).
 */

#ifndef CHANGES
#define CHANGES 4
#endif

/* The replica. */
byte held[2];
bool over[2];          /* The target has left, whether or not the replica still knows. */
byte number[2];        /* Number of its last change; 0 if none. */
byte newest = 0;
byte forgotten = 0;
byte life = 1;
byte changes = 0;

/* The replica's state of its follower. */
bool linked = false;
byte sent = 0;
byte snapshotStart = 0;
bool sentLastPage = false;

/* The follower. */
byte knownLife = 0;
byte taken = 0;
bool listing = false;
bool listed[2];
byte view[2];

chan pages = [3] of { byte, byte, byte, bool, byte, byte }; /* life, after, up to, last, target + 1, its state */

inline change(k) {
    if
    :: changes < CHANGES && held[k] < 2 && (!over[k] || life == 2) ->
        changes++;
        if
        :: held[k] = 1
        :: held[k] == 1 -> held[k] = 2; over[k] = true
        fi;
        newest++;
        number[k] = newest
    :: else -> skip
    fi
}

inline forget(k) {
    if
    :: held[k] == 2 ->
        held[k] = 0;
        if
        :: number[k] > forgotten -> forgotten = number[k]
        :: else -> skip
        fi;
        number[k] = 0
    :: else -> skip
    fi
}

inline begin(from) {
    sent = from;
    sentLastPage = false;
    if
    :: from == 0 -> snapshotStart = newest
    :: else -> snapshotStart = 0
    fi
}

inline publish() {
#ifndef MUTATE_FORGET_QUIETLY
    if
    :: sent < forgotten && snapshotStart < forgotten -> begin(0)
    :: else -> skip
    fi;
#endif
    if
    :: (sent != newest || !sentLastPage) && len(pages) < 3 ->
        byte first = 2;
        bool more = false;
        if
        :: number[0] > sent && (number[1] <= sent || number[0] < number[1]) -> first = 0; more = (number[1] > sent)
        :: number[1] > sent && (number[0] <= sent || number[1] < number[0]) -> first = 1; more = (number[0] > sent)
        :: else -> skip
        fi;
        byte upTo = newest;
        if
#ifndef MUTATE_SKIP_NUMBER
        :: more -> upTo = number[first]
#endif
        :: else -> skip
        fi;
        if
        :: first < 2 -> pages ! life, sent, upTo, (upTo == newest), first + 1, held[first]
        :: else -> pages ! life, sent, upTo, (upTo == newest), 0, 0
        fi;
        sent = upTo;
        if
        :: upTo == newest -> sentLastPage = true; snapshotStart = 0
        :: else -> skip
        fi;
        first = 2; more = false; upTo = 0
    :: else -> skip
    fi
}

inline check(k) {
    assert(view[k] != 1 || held[k] == 1);       /* D1 */
    assert(held[k] != 1 || view[k] != 0);       /* D1 */
    assert(held[k] != 2 || view[k] == 2)        /* D2 */
}

inline dropUnlisted(k) {
    if
    :: !listed[k] && view[k] == 1 -> view[k] = 0
    :: else -> skip
    fi;
    listed[k] = false
}

inline deliver() {
    byte pageLife; byte after; byte end; bool last; byte target; byte state;
    pages ? pageLife, after, end, last, target, state;
    if
    :: after == 0 ->
        knownLife = pageLife; taken = 0; listing = true; listed[0] = false; listed[1] = false
    :: after != 0 && (pageLife != knownLife || after != taken) ->
        assert(false)                           /* The link keeps the order, so there is no gap. */
    :: else -> skip
    fi;
    if
    :: target != 0 ->
        listed[target - 1] = true;
        if
#ifndef MUTATE_REVIVE
        :: view[target - 1] == 2 -> skip
#endif
        :: else ->
            assert(!(view[target - 1] == 2 && state == 1)); /* D3 */
            view[target - 1] = state
        fi
    :: else -> skip
    fi;
    taken = end;
    if
    :: last && listing ->
        listing = false;
#ifndef MUTATE_KEEP_UNLISTED
        dropUnlisted(0);
        dropUnlisted(1)
#endif
    :: else -> skip
    fi;
    if
    :: last && len(pages) == 0 && taken == newest && sent == newest && sent >= forgotten ->
        check(0);
        check(1)
    :: else -> skip
    fi;
    pageLife = 0; after = 0; end = 0; last = false; target = 0; state = 0
}

inline loseLink() {
    do
    :: len(pages) > 0 -> pages ? _, _, _, _, _, _
    :: len(pages) == 0 -> break
    od;
    linked = false;
    if
    :: listing -> knownLife = 0; taken = 0; listing = false; listed[0] = false; listed[1] = false
    :: else -> skip
    fi
}

inline connect() {
    linked = true;
    if
#ifndef MUTATE_OLD_LIFE
    :: knownLife == life && taken <= newest && taken >= forgotten -> begin(taken)
#else
    :: knownLife != 0 && taken <= newest && taken >= forgotten -> begin(taken); knownLife = life
#endif
    :: else -> begin(0)
    fi
}

/* The replica loses its memory. Live targets announce themselves again, in any order, or have ended meanwhile. */
inline restart() {
    loseLink();
    life++;
    held[0] = 0; held[1] = 0;
    number[0] = 0; number[1] = 0;
    newest = 0;
    forgotten = 0
}

active proctype system() {
    do
    :: atomic { true -> change(0) }
    :: atomic { true -> change(1) }
    :: atomic { true -> forget(0) }
    :: atomic { true -> forget(1) }
    :: atomic { linked -> publish() }
    :: atomic { len(pages) > 0 -> deliver() }
    :: atomic { linked -> loseLink() }
    :: atomic { !linked -> connect() }
    :: atomic { life < 2 -> restart() }
    od
}
