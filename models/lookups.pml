/*
 * Lookups: each lookup of a claim is answered in the end.
 *
 * One slot at one owner. Lookups wait for a read that began after they
 * arrived; outcomes wait for a write, which is needed only if an outcome
 * changes the ledger. Calls to the store may fail or find a newer ledger.
 * Time passes at any moment: a read or a write that is not due becomes
 * due when the timer fires or when anything else happens.
 *
 * Invariant: while a lookup or an outcome waits, a call to the store is
 * in flight or the timer is set. Each call ends and each timer fires, so
 * whatever waits goes on in the end.
 *
 * Variants that the check must catch:
 * BROKEN_EMPTY_COMMIT: nothing follows a commit that has nothing to write.
 * BROKEN_READ_DONE: nothing follows a read that another lookup missed.
 * BROKEN_STORE_FAILED: no timer is set while the slot backs off.
 */

mtype = { idle, reading, writing };
mtype phase = idle;

bool timer = false;
bool ledger = false;        /* the ledger was read and is held */
byte lookups = 0;           /* waiting, not covered by a read */
byte covered = 0;           /* waiting for the read in flight */
bool outcome = false;       /* waits for a write */
bool read_due = true;
bool write_due = true;
bool backoff = false;

#define MAX_LOOKUPS 2
#define WORK (lookups + covered > 0 || outcome)

inline pass_time()
{
	if
	:: read_due = true; write_due = true; backoff = false
	:: skip
	fi
}

inline start_read()
{
	phase = reading;
	covered = covered + lookups;
	lookups = 0;
	read_due = false
}

/* Chooses the next action of an idle slot. */
inline next_action()
{
	again = true;
	do
	:: !again || phase != idle || !WORK -> break
	:: else ->
		again = false;
		if
		:: backoff || !((lookups > 0 && read_due) ||
				(outcome && write_due)) ->
#ifdef BROKEN_STORE_FAILED
			timer = !backoff
#else
			timer = true
#endif
		:: else ->
			if
			:: !ledger || (lookups > 0 && read_due) ->
				start_read()
			:: else ->
				if
				:: phase = writing
				:: outcome = false;     /* it changes nothing */
#ifndef BROKEN_EMPTY_COMMIT
					again = true
#endif
				fi
			fi
		fi
	od;
	assert(!WORK || phase != idle || timer)
}

active proctype Slot()
{
	bool again;
end:	do
	:: atomic { lookups + covered < MAX_LOOKUPS && !backoff ->
		lookups++; pass_time(); next_action() }
	:: atomic { !outcome ->
		outcome = true; write_due = false; pass_time();
		next_action() }
	:: atomic { timer ->
		timer = false; read_due = true; write_due = true;
		backoff = false; next_action() }
	:: atomic { phase == reading ->
		phase = idle;
		pass_time();
		if
		:: ledger = true; covered = 0
		:: lookups = 0; covered = 0; backoff = true    /* an outage */
		fi;
#ifdef BROKEN_READ_DONE
		if
		:: lookups > 0 && !outcome ->
			assert(!WORK || phase != idle || timer)
		:: else -> next_action()
		fi
#else
		next_action()
#endif
		}
	:: atomic { phase == writing ->
		phase = idle;
		pass_time();
		if
		:: outcome = false
		:: ledger = false                        /* conflict or doubt */
		:: lookups = 0; covered = 0; backoff = true    /* an outage */
		fi;
		next_action() }
	od
}
