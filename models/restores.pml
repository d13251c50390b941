/*
 * The lease of the duties in a store that is restored from an older copy.
 *
 * The store compares the number of a revision only. After a restore numbers
 * are given out again and the era has risen, which every answer shows. A call
 * takes effect at any time after it was sent, also after the restore or the end
 * of its process, as long as its number is that of the object. The object also
 * has the era that its record is of, and the counts of one window, 0 before
 * they are decided.
 *
 * Invariants: no two hosts act at once, tokens rise, and the window is reported
 * with one set of counts only.
 *
 * Variants that the check must catch:
 * BROKEN_NUMBER_AS_TOKEN: the token is the number of the revision, without era.
 * BROKEN_FREE_IN_COPY: a lease that the copy shows as free is taken at once.
 * BROKEN_LAPSED_KEEPS: a lapsed holder goes on if the copy still names it.
 * BROKEN_DECIDES_AGAIN: a new holder decides what the copy doesn't show.
 * BROKEN_LATE_WRITE: a host that doesn't hold a valid lease relies on a write
 *   that was sent before the restore and done after it.
 * BROKEN_RECORD_TAKEN_FOR_NEW: the first write of a new holder says that the
 *   copy's record is of the new era.
 */

#define SPAN 2
#define MARGIN 1
#define QUIET (SPAN + MARGIN)
#define LAST_TICK 8
#define NONE 255
#define LEFT_OUT 15
#define ERA_STEP 32
#define MAX_DECISIONS 2

byte now;

/* The store: number and era of the object, its holder (0: free), the window's
   counts, and the era of that record. */
byte number = 1;
byte era;
byte owner;
byte counts;
byte record_era;

/* The copy, taken at any time, and how often the store was restored. */
bool copied;
byte copy_number;
byte copy_owner;
byte copy_counts;
byte copy_record_era;
byte restores;

/* Of each host. */
bool holding[2];
bool unsure[2];
byte known_era[2];
byte own_number[2];
byte own_era[2];
byte fence[2];
byte confirmed[2];
byte kept[2];
byte seen_number[2] = NONE;
byte seen_era[2];
byte seen_at[2];
byte rests[2];

/* A write on its way; heard: its process waits for the answer. */
bool sent[2];
bool heard[2];
byte sent_number[2];
byte sent_at[2];
byte sent_counts[2];
byte sent_era[2];
byte sent_record_era[2];

byte decisions;
byte highest;
byte reported;
byte kills;

#define VALID(h) (holding[h] && !unsure[h] && now < confirmed[h] + SPAN - MARGIN)
#define BOUND(h) (holding[h] && now < confirmed[h] + SPAN - MARGIN)

inline lose(h) {
  holding[h] = false; unsure[h] = false; own_number[h] = 0; own_era[h] = 0;
  fence[h] = 0; confirmed[h] = 0; kept[h] = 0;
  seen_number[h] = NONE; seen_era[h] = 0; seen_at[h] = 0;
  rests[h] = now + QUIET
}

inline write(h, on, content, rec) {
  sent[h] = true; heard[h] = true; sent_number[h] = on; sent_at[h] = now;
  sent_counts[h] = content; sent_record_era[h] = rec; sent_era[h] = known_era[h]
}

inline renew(h, on, rec) {
  if
  :: kept[h] != 0 -> write(h, on, kept[h], rec)
  :: kept[h] == 0 -> write(h, on, 0, rec)
  :: kept[h] == 0 && decisions < MAX_DECISIONS ->
       decisions++; write(h, on, decisions, rec)
  fi
}

inline read_as_holder(h) {
  known_era[h] = era;
  if
  :: era > own_era[h] ->
       if
#ifdef BROKEN_LAPSED_KEEPS
       :: owner == h + 1 || (BOUND(h) && record_era < era) ->
#else
       :: BOUND(h) && record_era < era ->
#endif
            unsure[h] = false; own_number[h] = number; own_era[h] = era;
            renew(h, number, era)
       :: else -> lose(h)
       fi
  :: era == own_era[h] ->
       if
       :: owner == h + 1 && number == own_number[h] ->
            unsure[h] = false;
            renew(h, number, era)
       :: else -> lose(h)
       fi
  fi
}

inline read_as_candidate(h) {
  known_era[h] = era;
  if
  :: number != seen_number[h] || era != seen_era[h] ->
       seen_number[h] = number; seen_era[h] = era; seen_at[h] = now
  :: else
  fi;
  if
#ifdef BROKEN_FREE_IN_COPY
  :: now >= rests[h] && (owner == 0 || now - seen_at[h] >= QUIET) ->
#else
  :: now >= rests[h] && ((owner == 0 && record_era == era) ||
                         now - seen_at[h] >= QUIET) ->
#endif
#ifdef BROKEN_RECORD_TAKEN_FOR_NEW
       write(h, number, counts, era)
#else
       write(h, number, counts, record_era)
#endif
  :: else
  fi
}

#ifdef BROKEN_LATE_WRITE
#define BOUND_OR_BROKEN(h) (true)
#else
#define BOUND_OR_BROKEN(h) BOUND(h)
#endif

inline hold(h) {
  own_number[h] = number; own_era[h] = era; confirmed[h] = sent_at[h];
  unsure[h] = false
}

inline answered(h) {
  known_era[h] = era;
  if
#ifndef BROKEN_LATE_WRITE
  :: sent_era[h] < era && !BOUND(h) ->
       if
       :: holding[h] -> lose(h)
       :: else
       fi;
       seen_number[h] = number; seen_era[h] = era; seen_at[h] = now
#endif
  :: holding[h] && (sent_era[h] == era || BOUND_OR_BROKEN(h)) ->
       kept[h] = sent_counts[h]; hold(h)
  :: !holding[h] && (sent_era[h] == era || BOUND_OR_BROKEN(h)) ->
       hold(h);
       holding[h] = true;
#ifdef BROKEN_NUMBER_AS_TOKEN
       fence[h] = number;
#else
       fence[h] = era * ERA_STEP + number;
#endif
       kept[h] = sent_counts[h];
#ifndef BROKEN_DECIDES_AGAIN
       if
#ifdef BROKEN_RECORD_TAKEN_FOR_NEW
       :: seen_record_is_old -> kept[h] = LEFT_OUT
#else
       :: sent_record_era[h] < era -> kept[h] = LEFT_OUT
#endif
       :: else
       fi
#endif
  fi
}

proctype Host(byte h) {
#ifdef BROKEN_RECORD_TAKEN_FOR_NEW
  bool seen_record_is_old;
#endif
end:
  do
  :: atomic { !sent[h] && VALID(h) && known_era[h] == own_era[h] &&
              now > confirmed[h] ->
       renew(h, own_number[h], own_era[h]) }
  :: atomic { !sent[h] && holding[h] &&
              (!VALID(h) || known_era[h] != own_era[h]) ->
       read_as_holder(h) }
  :: atomic { !sent[h] && !holding[h] ->
#ifdef BROKEN_RECORD_TAKEN_FOR_NEW
       seen_record_is_old = (record_era < era);
#endif
       read_as_candidate(h) }
  :: atomic { sent[h] && number == sent_number[h] ->
       number++; owner = h + 1; counts = sent_counts[h];
       record_era = sent_record_era[h];
       if
       :: heard[h] -> answered(h)
       :: else
       fi;
       sent[h] = false; heard[h] = false; sent_number[h] = 0; sent_at[h] = 0;
       sent_counts[h] = 0; sent_record_era[h] = 0; sent_era[h] = 0 }
  :: atomic { sent[h] && number != sent_number[h] ->
       /* Refused, or its answer is lost: the object has to be read. */
       if
       :: heard[h] && holding[h] -> unsure[h] = true
       :: else
       fi;
       sent[h] = false; heard[h] = false; sent_number[h] = 0; sent_at[h] = 0;
       sent_counts[h] = 0; sent_record_era[h] = 0; sent_era[h] = 0 }
  :: atomic { VALID(h) ->
       assert(!VALID(1 - h));
       assert(fence[h] >= highest);
       highest = fence[h];
       if
       :: kept[h] != 0 && kept[h] != LEFT_OUT ->
            assert(reported == 0 || reported == kept[h]);
            reported = kept[h]
       :: else
       fi }
  od
}

proctype World() {
end:
  do
  :: atomic { now < LAST_TICK -> now++ }
  :: atomic { !copied ->
       copied = true; copy_number = number; copy_owner = owner;
       copy_counts = counts; copy_record_era = record_era }
  :: atomic { copied && restores < 1 ->
       restores++; era++; number = copy_number; owner = copy_owner;
       counts = copy_counts; record_era = copy_record_era }
  :: atomic { kills < 2 && restores > 0 && holding[kills] ->
       lose(kills); known_era[kills] = 0; heard[kills] = false; kills++ }
  od
}

init {
  atomic { run Host(0); run Host(1); run World() }
}
