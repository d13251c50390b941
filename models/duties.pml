/*
 * Duties held by one host at a time, before a platform that checks nothing.
 *
 * Two hosts compete for one lease object. The holder makes calls that the
 * platform takes in any order of arrival; a call neither begins nor goes on
 * once the lease has ended, but its bytes may be on the way for MARGIN more.
 * A pause is any interleaving: a host may stop between any two steps while
 * time goes on, also between the decision on a call and its sending, and
 * between the sending of a write and its answer. Hosts may be killed and
 * start again, or stop as planned and free the lease. The object also holds
 * the counts that one window was decided with.
 *
 * Invariants: at the platform no number comes after a higher one, no number
 * is of two hosts, no two hosts act in the order A, B, A within SPAN, and the
 * window is reported with one set of counts only.
 *
 * Variants that the check must catch:
 * BROKEN_NO_REST: a host takes the lease again right after it gave it up.
 * BROKEN_EARLY_TAKEOVER: a candidate does not wait for the span.
 * BROKEN_LATE_SEND: the lease is not looked at when a call is sent.
 * BROKEN_NO_RESET: a call goes on after the end of the lease.
 * BROKEN_EXPIRY_FROM_ANSWER: the span counts from the answer of a write.
 * BROKEN_REPORT_BEFORE_KEPT: counts are sent before the object holds them.
 */

#define SPAN 2
#define MARGIN 1
#define LAST_TICK 6
#define NONE 255

#ifdef BROKEN_NO_REST
#define REST 0
#else
#define REST (SPAN + MARGIN)
#endif

#ifdef BROKEN_EARLY_TAKEOVER
#define QUIET 1
#else
#define QUIET (SPAN + MARGIN)
#endif

byte now;

/* The lease object. */
byte version = 1;
bool free;
byte decided;

/* Of each host. */
bool holding[2];
byte fence[2];
byte own[2];
byte confirmed[2];
byte kept[2];
byte rests[2];
byte starts[2];

/* A call of each host, decided on or on its way; until: its lease's end. */
bool carried[2];
bool chosen_call[2];
byte number[2];
byte until[2];
byte value[2];

/* What the platform has seen. */
byte highest;
byte owner;
byte reported;
byte last_actor = NONE;
byte acted[2];
bool has_acted[2];

#define ENDS(h) (confirmed[h] + SPAN - MARGIN)
#define FRESH(h) (holding[h] && now < ENDS(h))

#define NO_CALL(h) (!carried[h] && !chosen_call[h])
#define MAY_RELEASE(h) (FRESH(h) && NO_CALL(h) && version == own[h])
#define IS_QUIET (free || now - seen_at >= QUIET)
#define MAY_TAKE(h) (!holding[h] && now >= rests[h] && IS_QUIET)

inline lose(h) {
  holding[h] = false; fence[h] = 0; own[h] = 0; confirmed[h] = 0;
  kept[h] = 0;
  rests[h] = now + REST
}

proctype Lease(byte h) {
  byte begun, seen, seen_at, want, life;
  bool done;

  seen = NONE;
  life = starts[h];
end:
  do
  :: atomic { life != starts[h] ->
       life = starts[h]; seen = NONE; seen_at = 0; begun = 0; want = 0 }
  :: atomic { life == starts[h] && holding[h] && now > confirmed[h] ->
       begun = now };
     atomic {
       done = (version == own[h] && life == starts[h]);
       if
       :: done ->
            version++; own[h] = version;
            if
            :: decided == 0 -> decided = h + 1
            :: else
            fi
       :: else
       fi
     };
     atomic {
       if
       :: life != starts[h] -> skip
       :: life == starts[h] && done ->
#ifdef BROKEN_EXPIRY_FROM_ANSWER
            confirmed[h] = now;
#else
            confirmed[h] = begun;
#endif
            kept[h] = decided
       :: life == starts[h] && !done -> lose(h)
       fi;
       begun = 0; done = false
     }
  :: atomic { MAY_RELEASE(h) && life == starts[h] ->
       version++; free = true; lose(h) }
  :: atomic { life == starts[h] && !holding[h] && version != seen ->
       seen = version; seen_at = now }
  :: atomic { MAY_TAKE(h) && life == starts[h] && version == seen ->
       begun = now; want = version };
     atomic {
       done = (version == want && life == starts[h]);
       if
       :: done -> version++; own[h] = version; free = false
       :: else
       fi
     };
     atomic {
       if
       :: life == starts[h] && done ->
            holding[h] = true; fence[h] = own[h]; confirmed[h] = begun;
            kept[h] = decided
       :: else
       fi;
       begun = 0; want = 0; done = false; seen = NONE; seen_at = 0
     }
  od
}

proctype Calls(byte h) {
  byte chosen, ends, counts;

end:
  do
  :: atomic { FRESH(h) && NO_CALL(h) ->
       chosen_call[h] = true; chosen = fence[h]; ends = ENDS(h); counts = kept[h];
#ifdef BROKEN_REPORT_BEFORE_KEPT
       if
       :: counts == 0 -> counts = h + 1
       :: else
       fi
#endif
     };
     atomic {
       if
#ifdef BROKEN_LATE_SEND
       :: chosen_call[h] ->
#else
       :: chosen_call[h] && now < ends ->
#endif
            carried[h] = true; number[h] = chosen; value[h] = counts;
            until[h] = ends;
#ifdef BROKEN_LATE_SEND
            until[h] = now + MARGIN;
#endif
       :: else
       fi;
       chosen_call[h] = false; chosen = 0; ends = 0; counts = 0
     }
  od
}

inline arrive(h) {
  assert(number[h] >= highest);
  assert(number[h] > highest || owner == 0 || owner == h + 1);
  highest = number[h]; owner = h + 1;
  assert(last_actor == h || !has_acted[h] || now - acted[h] >= SPAN);
  last_actor = h; acted[h] = now; has_acted[h] = true;
  assert(value[h] == 0 || reported == 0 || reported == value[h]);
  if
  :: value[h] != 0 -> reported = value[h]
  :: else
  fi;
  carried[h] = false; number[h] = 0; value[h] = 0; until[h] = 0
}

#ifdef BROKEN_NO_RESET
#define MAY_ARRIVE(h) (carried[h])
#else
#define MAY_ARRIVE(h) (carried[h] && now < until[h] + MARGIN)
#endif

proctype World() {
end:
  do
  :: atomic { MAY_ARRIVE(0) -> arrive(0) }
  :: atomic { MAY_ARRIVE(1) -> arrive(1) }
  :: atomic { carried[0] && now >= until[0] -> carried[0] = false;
              number[0] = 0; value[0] = 0; until[0] = 0 }
  :: atomic { carried[1] && now >= until[1] -> carried[1] = false;
              number[1] = 0; value[1] = 0; until[1] = 0 }
  :: atomic { now < LAST_TICK -> now++ }
  :: atomic { starts[0] == 0 && now > 0 && now < 4 ->
              /* The end of the process resets its connection. */
              starts[0] = 1; lose(0); chosen_call[0] = false;
              if
              :: until[0] > now -> until[0] = now
              :: else
              fi }
  od
}

init {
  atomic {
    holding[0] = true; fence[0] = 1; own[0] = 1;
    run Lease(0); run Lease(1); run Calls(0); run Calls(1); run World()
  }
}
