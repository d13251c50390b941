/*
 * Orders to engines under a lease.
 *
 * Two hosts compete for one lease object; the holder orders two engines.
 * Engine 0 checks fencing numbers and orders to it may arrive at any time.
 * Engine 1 does not, and orders to it arrive within ORDER of their sending
 * or never. A pause is any interleaving: a host may stop between any two
 * steps while time goes on. A slow answer and one that was lost and then
 * read back are the same here. One engine may crash and forget all.
 *
 * Not in here: a pause between the check of the lease and the sending,
 * which is one step, as it is not covered; see docs/internals/control.md.
 *
 * Invariant: since an engine's last start, no order of an older holder
 * takes effect after one of a newer holder.
 *
 * Variants that the check must catch:
 * BROKEN_NO_FENCE: engine 0 does not check.
 * BROKEN_NO_WAIT: no waiting period for engine 1.
 * BROKEN_NO_FENCE_NO_WAIT: neither of the two.
 * BROKEN_STALE_SEND: an order decided before a pause is sent after it.
 * BROKEN_EXPIRY_FROM_ANSWER: the span counts from the answer.
 * BROKEN_EARLY_TAKEOVER: a candidate does not wait for the span.
 */

#define SPAN 2
#define ORDER 2
#define LAST_TICK 6
#define CHECKING 0
#define NONE 255

#if defined(BROKEN_NO_FENCE_NO_WAIT)
#define BROKEN_NO_FENCE
#define BROKEN_NO_WAIT
#endif

#ifdef BROKEN_NO_WAIT
#define WAIT 0
#else
#define WAIT ORDER
#endif

#ifdef BROKEN_EARLY_TAKEOVER
#define EXPIRED(since) true
#else
#define EXPIRED(since) (now - since >= SPAN)
#endif

byte now;
byte version;

/* Of each host. */
bool holding[2];
byte fence[2];
byte own_version[2];
byte confirmed[2];
byte acquired[2];

/* Orders on their way, from host h to engine e: 2 * h + e. */
byte carried[4];
byte sent_at[4];

/* Of each engine. */
byte highest;
byte ruler[2];
bool crashed;

#define FRESH(h) (holding[h] && now - confirmed[h] < SPAN)
#define WAITED(h, e) (e == CHECKING || now - acquired[h] >= WAIT)

inline send(h, e) {
  carried[2 * h + e] = fence[h];
  sent_at[2 * h + e] = now
}

inline take(at, e) {
  if
  :: e == CHECKING && carried[at] < highest -> skip
  :: else ->
#ifndef BROKEN_NO_FENCE
    if
    :: e == CHECKING -> highest = carried[at]
    :: else
    fi;
#endif
    assert(carried[at] >= ruler[e]);
    ruler[e] = carried[at]
  fi;
  carried[at] = 0;
  sent_at[at] = 0
}

proctype Lease(byte h) {
  byte begun, seen, seen_at;
  bool done;

  seen = NONE;
  do
  :: atomic { holding[h] && now > confirmed[h] -> begun = now };
     atomic {
       done = (version == own_version[h]);
       if
       :: done -> version++; own_version[h] = version
       :: else
       fi
     };
     atomic {
       if
       :: done ->
#ifdef BROKEN_EXPIRY_FROM_ANSWER
          confirmed[h] = now
#else
          confirmed[h] = begun
#endif
       :: else ->
          holding[h] = false; fence[h] = 0; own_version[h] = 0;
          confirmed[h] = 0; acquired[h] = 0
       fi;
       begun = 0; done = false
     }
  :: atomic { !holding[h] && seen != version ->
       seen = version; seen_at = now }
  :: atomic { !holding[h] && seen == version && EXPIRED(seen_at) ->
       begun = now };
     atomic {
       done = (version == seen);
       if
       :: done -> version++; own_version[h] = version
       :: else
       fi
     };
     atomic {
       if
       :: done ->
          holding[h] = true; fence[h] = own_version[h];
          confirmed[h] = begun; acquired[h] = now
       :: else
       fi;
       seen = NONE; seen_at = 0; begun = 0; done = false
     }
  od
}

proctype Orders(byte h; byte e) {
  do
#ifdef BROKEN_STALE_SEND
  :: atomic { FRESH(h) && WAITED(h, e) && carried[2 * h + e] == 0 };
     atomic {
       if
       :: fence[h] > 0 -> send(h, e)
       :: else
       fi
     }
#else
  :: atomic { FRESH(h) && WAITED(h, e) && carried[2 * h + e] == 0 ->
       send(h, e) }
#endif
  od
}

proctype Network() {
  do
  :: atomic { carried[0] > 0 -> take(0, 0) }
  :: atomic { carried[1] > 0 -> take(1, 1) }
  :: atomic { carried[2] > 0 -> take(2, 0) }
  :: atomic { carried[3] > 0 -> take(3, 1) }
  :: atomic { !crashed -> crashed = true; highest = 0; ruler[0] = 0 }
  :: atomic { !crashed -> crashed = true; ruler[1] = 0 }
  od
}

#define MAY_WAIT(at) (carried[at] == 0 || now - sent_at[at] < ORDER)

proctype Clock() {
  do
  :: atomic { now < LAST_TICK && MAY_WAIT(1) && MAY_WAIT(3) -> now++ }
  :: now == LAST_TICK -> break
  od
}

init {
  atomic {
    version = 1;
    holding[0] = true; fence[0] = 1; own_version[0] = 1;
    run Lease(0); run Lease(1);
    run Orders(0, 0); run Orders(0, 1);
    run Orders(1, 0); run Orders(1, 1);
    run Network(); run Clock()
  }
}
