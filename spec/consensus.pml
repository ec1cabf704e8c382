/* SPDX-License-Identifier: MIT
 *
 * Consensus: the core of the control replicas' protocol, small enough for an exhaustive search.
 *
 * Three replicas with one disk each: terms, votes, a log of at most MAXLOG entries, commit by a quorum, and
 * the loss and repair of one disk, after which a second replica may be lost for good. The value of an entry
 * is the change id. A replica that lost its disk rejoins as a learner, with the state of the old disk gone.
 *
 * Properties (assertions):
 *   A1  at most one leader in a term
 *   A2  a committed entry is never lost or replaced
 *   A3  of two changes with the same base version, one is applied; a resent change is applied once
 *   A4  a replica that lost its disk never votes as if it still had its earlier vote and log
 *   A5  after a repair, no committed entry is lost with a second replica
 *
 * Mutations, each of which must break a property: MUTATE_VOTE_TWICE (A1), MUTATE_STALE_LOG (A2),
 * MUTATE_NO_DEDUP (A3), MUTATE_WIPED_VOTES (A4), MUTATE_EARLY_VOTER (A5).
 */

#define N 3
#define MAXTERM 3
#define MAXLOG 2
#define NONE 9
#define LOST_DISK 8      /* The leader of the term has lost its disk. */

/* Whether a voter is up, in the leader's term and has the same log length as the leader. */
#define SAME_LOG(l, f) (r[f].voter && !r[f].down && r[f].term == r[l].term && r[f].length == r[l].length)

/* Whether a learner may be promoted: its log is as long as the leader's, and so are those of a quorum of voters, which
 * have to commit the configuration entry. */
#ifdef MUTATE_EARLY_VOTER
#define CAUGHT_UP(l, i) true
#else
#define CAUGHT_UP(l, i) (r[i].term == r[l].term && r[i].length == r[l].length && (SAME_LOG(l, 0) + SAME_LOG(l, 1) + SAME_LOG(l, 2)) * 2 > voters)
#endif

typedef Replica {
    byte term;
    byte votedFor;
    byte length;
    byte entryTerm[MAXLOG];
    byte entryValue[MAXLOG];
    bool voter;    /* Counts for votes and commits; a replica with a repaired disk is a learner first. */
    bool down;
    bool wiped;    /* Has lost its disk. */
};

Replica r[N];
byte leaderOfTerm[MAXTERM + 1];
byte committed = 0;
byte committedTerm[MAXLOG];
byte committedValue[MAXLOG];
byte committedIn[MAXLOG];  /* Term in which the entry was committed; may be later than the term of the entry. */
byte voters = N;      /* Number of voters in the configuration, including lost ones. */
bool diskLost = false;
bool secondLost = false;

inline lastTermOf(xi, xresult) {
    if
    :: r[xi].length == 0 -> xresult = 0
    :: else -> xresult = r[xi].entryTerm[r[xi].length - 1]
    fi
}

/* Request for the vote of v by candidate c in term t. */
inline requestVote(xc, xv, xt, xgranted) {
    byte lastC;
    byte lastV;
    bool upToDate;
    xgranted = false;
    if
    :: r[xv].down || xt < r[xv].term -> skip
    :: else ->
        if
        :: xt > r[xv].term -> r[xv].term = xt; r[xv].votedFor = NONE
        :: else -> skip
        fi;
        lastTermOf(xc, lastC);
        lastTermOf(xv, lastV);
        upToDate = (lastC > lastV) || (lastC == lastV && r[xc].length >= r[xv].length);
#ifdef MUTATE_STALE_LOG
        upToDate = true;
#endif
        if
#ifdef MUTATE_VOTE_TWICE
        :: upToDate -> r[xv].votedFor = xc; xgranted = true
#else
        :: upToDate && (r[xv].votedFor == NONE || r[xv].votedFor == xc) -> r[xv].votedFor = xc; xgranted = true
#endif
        :: else -> skip
        fi
    fi
}

/* A replica starts an election; any subset of the others may be reachable. */
inline elect(yc) {
    byte votes;
    byte yv;
    bool granted;
    if
    :: !r[yc].down && r[yc].voter && r[yc].term < MAXTERM ->
        r[yc].term++;
        r[yc].votedFor = yc;
        votes = 1;
        yv = 0;
        do
        :: yv < N && yv != yc ->
            if
            :: requestVote(yc, yv, r[yc].term, granted);
               if
               :: granted && r[yv].voter -> votes++
               :: else -> skip
               fi
            :: skip
            fi;
            yv++
        :: yv == yc -> yv++
        :: yv >= N -> break
        od;
        if
        :: votes * 2 > voters ->
            assert(leaderOfTerm[r[yc].term] == NONE || leaderOfTerm[r[yc].term] == yc); /* A1 */
            leaderOfTerm[r[yc].term] = yc
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* The leader appends a change, unless its log already contains it. */
inline propose(yl, ychange) {
    byte k;
    bool known;
    if
    :: !r[yl].down && leaderOfTerm[r[yl].term] == yl && r[yl].length < MAXLOG ->
        known = false;
        k = 0;
        do
        :: k < r[yl].length -> known = known || (r[yl].entryValue[k] == ychange); k++
        :: else -> break
        od;
#ifdef MUTATE_NO_DEDUP
        known = false;
#endif
        if
        :: !known ->
            r[yl].entryTerm[r[yl].length] = r[yl].term;
            r[yl].entryValue[r[yl].length] = ychange;
            r[yl].length++
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* The leader copies its log to one follower, which is the result of a complete exchange of appends. */
inline replicate(yl, yf) {
    byte k;
    if
    :: yl != yf && !r[yl].down && !r[yf].down && leaderOfTerm[r[yl].term] == yl && r[yf].term <= r[yl].term ->
        if
        :: r[yf].term < r[yl].term -> r[yf].term = r[yl].term; r[yf].votedFor = NONE
        :: else -> skip
        fi;
        k = 0;
        do
        :: k < r[yl].length ->
            r[yf].entryTerm[k] = r[yl].entryTerm[k];
            r[yf].entryValue[k] = r[yl].entryValue[k];
            k++
        :: else -> break
        od;
        r[yf].length = r[yl].length
    :: else -> skip
    fi
}

/* The leader commits the entries that a quorum of voters holds, if the last of them is of its own term. */
inline commit(yl) {
    byte holders;
    byte f;
    byte upTo;
    if
    :: !r[yl].down && leaderOfTerm[r[yl].term] == yl && r[yl].length > committed ->
        upTo = r[yl].length;
        holders = 0;
        f = 0;
        do
        :: f < N ->
            if
            :: r[f].voter && !r[f].down && r[f].term == r[yl].term && r[f].length >= upTo && r[f].entryTerm[upTo - 1] == r[yl].entryTerm[upTo - 1] -> holders++
            :: else -> skip
            fi;
            f++
        :: else -> break
        od;
        if
        :: holders * 2 > voters && r[yl].entryTerm[upTo - 1] == r[yl].term ->
            f = 0;
            do
            :: f < upTo ->
                if
                :: f < committed ->
                    assert(committedTerm[f] == r[yl].entryTerm[f] && committedValue[f] == r[yl].entryValue[f]) /* A2 */
                :: else ->
                    committedTerm[f] = r[yl].entryTerm[f];
                    committedValue[f] = r[yl].entryValue[f];
                    committedIn[f] = r[yl].term
                fi;
                f++
            :: else -> break
            od;
            committed = upTo;
            /* A3: a change occurs at most once in the committed log. */
            assert(committed < 2 || committedValue[0] != committedValue[1])
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* Leader completeness: the leader of the term of a commit or of a later term has all entries committed then. */
inline checkLeader(yl) {
    byte f;
    if
    :: !r[yl].down && leaderOfTerm[r[yl].term] == yl && r[yl].term > 0 ->
        f = 0;
        do
        :: f < committed ->
            /* A2 and A5: the leader of the same or a later term has the committed entry. */
            if
            :: r[yl].term >= committedIn[f] ->
                assert(r[yl].length > f && r[yl].entryTerm[f] == committedTerm[f] && r[yl].entryValue[f] == committedValue[f])
            :: else -> skip
            fi;
            f++
        :: else -> break
        od
    :: else -> skip
    fi
}

/* A replica loses its disk and restarts as a learner with an empty one. */
inline wipe(yi) {
    if
    :: !diskLost && !secondLost && !r[yi].down ->
        diskLost = true;
        r[yi].wiped = true;
        r[yi].length = 0;
        r[yi].term = 0;
        r[yi].votedFor = NONE;
        w = 0;
        do
        :: w <= MAXTERM ->
            if
            :: leaderOfTerm[w] == yi -> leaderOfTerm[w] = LOST_DISK
            :: else -> skip
            fi;
            w++
        :: else -> break
        od;
        w = 0;
#ifndef MUTATE_WIPED_VOTES
        r[yi].voter = false
#endif
    :: else -> skip
    fi
}

/* The leader promotes the learner once it has the complete log (two configuration changes in one step). */
inline promote(yl, yi) {
    if
    :: yl != yi && diskLost && r[yi].wiped && !r[yi].voter && !r[yl].down && leaderOfTerm[r[yl].term] == yl && CAUGHT_UP(yl, yi) -> r[yi].voter = true
    :: else -> skip
    fi
}

/* After the repair, a second replica is lost permanently. */
inline loseSecondReplica(yi) {
    bool repaired;
    w = 0;
    repaired = false;
    do
    :: w < N -> repaired = repaired || (r[w].wiped && r[w].voter); w++
    :: else -> break
    od;
    if
    :: repaired && !secondLost && !r[yi].wiped -> secondLost = true; r[yi].down = true
    :: else -> skip
    fi
}

active proctype main() {
    byte a;
    byte b;
    byte w;
    byte steps = 0;
    d_step {
        a = 0;
        do
        :: a < N -> r[a].votedFor = NONE; r[a].voter = true; a++
        :: else -> break
        od;
        a = 0;
        do
        :: a <= MAXTERM -> leaderOfTerm[a] = NONE; a++
        :: else -> break
        od;
        a = 0;
        b = 0
    }
    do
    :: steps < STEPS ->
        atomic {
            select(a : 0 .. 2);
            select(b : 0 .. 2);
            if
            :: skip; elect(a)
            :: skip; propose(a, 1)
            :: skip; propose(a, 2)
            :: skip; replicate(a, b)
            :: skip; commit(a)
            :: skip; wipe(a)
            :: skip; promote(a, b)
            :: skip; loseSecondReplica(a)
            fi;
            checkLeader(0);
            checkLeader(1);
            checkLeader(2);
            steps++;
            a = 0;
            b = 0
        }
    :: else -> break
    od
}
