/* SPDX-License-Identifier: MIT
 *
 * Target leases: a replica holds a lease on a target that announces itself to it, sends changes to another replica and
 * renews the lease by heartbeats, through lost links. The lease is added, expires and is added again at any time.
 *
 * A lease is bound to the link on which it was received. The link keeps heartbeats in order and loses all heartbeats in
 * flight when it breaks; the first heartbeat on a link adds all leases of the sender.
 *
 * Properties (assertions):
 *   H1  a replica that has applied all heartbeats of its link holds the same lease as the sender
 *   H2  without a link it holds no lease of the sender
 *
 * Mutations: MUTATE_KEEP_WORD (H2): leases survive the loss of their link, MUTATE_OTHER_LINK (H1): the first heartbeat is
 * sent on another link than the differences, MUTATE_NO_WHOLE (H1): a link begins without the leases that were sent before.
 */

#ifndef CHANGES
#define CHANGES 4
#endif

#define RENEW 0
#define ADDED 1
#define EXPIRED 2

/* The sender: whether the target announces itself here, and whether its lease is marked as sent. */
bool hears = false;
bool sent = false;
byte changes = 0;
bool done = false;     /* The target no longer changes. */
byte breaks = 0;

/* The receiver. */
bool lease = false;

bool linked = false;
chan heartbeats = [3] of { byte };
chan otherLink = [3] of { byte };

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
        linked && nfull(heartbeats) ->
        if
        :: hears && !sent -> sent = true; heartbeats ! ADDED
        :: !hears && sent -> sent = false; heartbeats ! EXPIRED
        :: else -> heartbeats ! RENEW
        fi
    }
    /* Without a link the sender marks its changes as sent, although nobody receives them. */
    :: atomic { !linked && hears != sent -> sent = hears }
    :: atomic {
        !linked && breaks < 3 ->
        linked = true;
        breaks++;
#ifdef MUTATE_OTHER_LINK
        if
        :: sent -> otherLink ! ADDED
        :: else -> skip
        fi
#elif !defined(MUTATE_NO_WHOLE)
        if
        :: sent -> heartbeats ! ADDED
        :: else -> heartbeats ! RENEW
        fi
#endif
    }
    :: atomic {
        linked && breaks < 3 ->
        linked = false;
        do
        :: heartbeats ? _
        :: empty(heartbeats) -> break
        od;
#ifndef MUTATE_KEEP_WORD
        lease = false;
#endif
        assert(!lease) /* H2 */
    }
    :: atomic { linked && done && hears == sent && empty(heartbeats) && empty(otherLink) -> assert(lease == sent); break } /* H1 */
    od
}

active proctype receiver()
{
    byte heartbeat;
    do
    :: atomic {
        heartbeats ? heartbeat ->
        if
        :: heartbeat == ADDED -> lease = true
        :: heartbeat == EXPIRED -> lease = false
        :: else -> skip
        fi
    }
    :: atomic { otherLink ? heartbeat -> lease = true }
    :: timeout -> break
    od
}
