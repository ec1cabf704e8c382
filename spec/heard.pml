/* SPDX-License-Identifier: MIT
 *
 * Heard: a replica's word on a target that it hears, given to another replica by differences and renewed by beats, through
 * lost links. The target comes, is missed and comes again at any moment.
 *
 * The word is bound to the link on which it was given. The link keeps beats in order and loses all of them when it breaks;
 * the first beat on a link names all that the sender vouches for.
 *
 * Properties (assertions):
 *   H1  a replica that has taken all beats of its link vouches for the target just as the sender does
 *   H2  without a link it holds no word of the sender
 *
 * Mutations: MUTATE_KEEP_WORD (H2), MUTATE_OTHER_LINK (H1): the first beat takes another way than the differences,
 * MUTATE_NO_WHOLE (H1): a link begins without what was told before.
 */

#ifndef CHANGES
#define CHANGES 4
#endif

#define KEEP 0
#define NAMED 1
#define MISSED 2

/* The sender: whether it hears the target, and whether it has named it. */
bool hears = false;
bool told = false;
byte changes = 0;
bool done = false;     /* The target changes no more. */
byte breaks = 0;

/* The receiver. */
bool word = false;

bool linked = false;
chan beats = [3] of { byte };
chan other = [3] of { byte };

active proctype target()
{
    do
    :: atomic { changes < CHANGES -> hears = !hears; changes++ }
    :: done = true -> break
    od
}

active proctype sender()
{
    do
    :: atomic {
        linked && nfull(beats) ->
        if
        :: hears && !told -> told = true; beats ! NAMED
        :: !hears && told -> told = false; beats ! MISSED
        :: else -> beats ! KEEP
        fi
    }
    /* Without a link the sender goes on, and nobody is told. */
    :: atomic { !linked && hears != told -> told = hears }
    :: atomic {
        !linked && breaks < 3 ->
        linked = true;
        breaks++;
#ifdef MUTATE_OTHER_LINK
        if
        :: told -> other ! NAMED
        :: else -> skip
        fi
#elif !defined(MUTATE_NO_WHOLE)
        if
        :: told -> beats ! NAMED
        :: else -> beats ! KEEP
        fi
#endif
    }
    :: atomic {
        linked && breaks < 3 ->
        linked = false;
        do
        :: beats ? _
        :: empty(beats) -> break
        od;
#ifndef MUTATE_KEEP_WORD
        word = false;
#endif
        assert(!word) /* H2 */
    }
    :: atomic { linked && done && hears == told && empty(beats) && empty(other) -> assert(word == told); break } /* H1 */
    od
}

active proctype receiver()
{
    byte beat;
    do
    :: atomic {
        beats ? beat ->
        if
        :: beat == NAMED -> word = true
        :: beat == MISSED -> word = false
        :: else -> skip
        fi
    }
    :: atomic { other ? beat -> word = true }
    :: timeout -> break
    od
}
