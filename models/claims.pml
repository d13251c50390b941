/*
 * Claims: a non-repeatable request runs at most once.
 *
 * One key, one slot, two owners, two attempts (a request and its resend
 * at another door). The store keeps one ledger object: its version, the
 * attempt that holds the key, whether that attempt is recorded as ran,
 * and the floor that trimming leaves. Writes may be refused (outage),
 * applied with their answer lost, or applied long after their sender
 * gave up on them. A pause is any interleaving: an owner may stop between
 * any two steps for any time. Messages of doors may come to any owner,
 * late, again, or never.
 *
 * Invariants: the key runs at most once; an attempt that its door
 * declared not run never runs.
 *
 * Variants that the check must catch:
 * BROKEN_UNCONDITIONAL: the store ignores the version of a write.
 * BROKEN_EARLY_GRANT: an owner grants before its write is confirmed.
 * BROKEN_DOUBT: a lost answer counts as a write that took effect.
 * BROKEN_EXPIRY: an owner frees the key of an ask whose deadline passed.
 * BROKEN_TRIM: a key whose entry was dropped by age looks new.
 */

#define ATTEMPTS 2
#define NOBODY 0
#define MAX_WRITES 12

/* The store: the ledger object. */
byte version = 0;
byte holder = NOBODY;
bool ended = false;
bool floor_up = false;

/* One write that its sender gave up on and that may still land. */
bool late = false;
byte late_base;
byte late_holder;
bool late_ended;
bool late_floor;

/* Doors; index 0 is unused. */
mtype = { asked, started, ran, over };
mtype door[ATTEMPTS + 1] = asked;
bool granted[ATTEMPTS + 1] = false;
byte runs = 0;

mtype = { written, conflict, unknown, unavailable };

#ifdef BROKEN_UNCONDITIONAL
#define FITS(base) (version < MAX_WRITES)
#else
#define FITS(base) (base == version && version < MAX_WRITES)
#endif

#ifdef BROKEN_TRIM
#define TOO_OLD(floor) false
#else
#define TOO_OLD(floor) floor
#endif

inline apply(base, h, e, f)
{
	if
	:: FITS(base) ->
		version++;
		holder = h;
		ended = e;
		floor_up = f
	:: else
	fi
}

/* One conditional write, seen by its sender as `result`. */
inline put(base, h, e, f)
{
	if
	:: result = unavailable     /* an outage */
	:: FITS(base) ->
		apply(base, h, e, f);
		result = written
	:: !FITS(base) -> result = conflict
	:: apply(base, h, e, f); result = unknown
	:: !late ->
		late = true;
		late_base = base;
		late_holder = h;
		late_ended = e;
		late_floor = f;
		result = unknown
	fi
}

inline no_late()
{
	late = false;
	late_base = 0;
	late_holder = NOBODY;
	late_ended = false;
	late_floor = false
}

active proctype Network()
{
end:	do
	:: atomic { late ->
		apply(late_base, late_holder, late_ended, late_floor);
		no_late() }
	:: atomic { late -> no_late() }
	od
}

/* The door of one attempt: it starts once, and never after giving up. */
proctype Door(byte me)
{
	bool told_not_run = false;
end:	do
	:: atomic { door[me] == asked && granted[me] ->
		granted[me] = false;
		door[me] = started }
	:: atomic { door[me] == started ->
		assert(!told_not_run);
		runs++;
		assert(runs <= 1);
		door[me] = ran }
	:: atomic { door[me] == asked || door[me] == started ->
		/* Gave up before it started, or its backend server said
		   that it did not run it: the caller is told so. */
		told_not_run = true;
		granted[me] = false;
		door[me] = over }
	od
}

inline grant(who)
{
	if
	:: door[who] == asked -> granted[who] = true
	:: else     /* a door ignores it in any other state */
	fi
}

inline forget()
{
	known = false;
	v = 0;
	h = NOBODY;
	e = false;
	f = false
}

/* Any host may act as owner, also two at once. */
proctype Owner(byte me)
{
	bool known = false;     /* the ledger was read and is held */
	byte a;
	byte v;
	byte h;
	bool e;
	bool f;
	mtype result;
end:	do
	:: d_step { !known ->
		/* Takeover, or reading back after a lost answer. */
		v = version;
		h = holder;
		e = ended;
		f = floor_up;
		known = true }
	:: atomic { known && h != NOBODY && !e && door[h] == asked ->
		grant(h) }     /* the same attempt asks again */
	:: atomic { known && h == NOBODY && !TOO_OLD(f) ->
		select(a : 1 .. ATTEMPTS);
#ifdef BROKEN_EARLY_GRANT
		grant(a);
#endif
		put(v, a, false, f);
#ifdef BROKEN_DOUBT
		if
		:: result == unknown -> grant(a)
		:: else
		fi;
#endif
		/* Whoever wrote, reading shows who holds the key. */
		forget();
		a = 0;
		result = 0 }
	:: atomic { known && h != NOBODY && !e && door[h] == over ->
		put(v, NOBODY, false, f);
		forget();
		result = 0 }
	:: atomic { known && h != NOBODY && !e && door[h] == ran ->
		put(v, h, true, f);
		forget();
		result = 0 }
#ifdef BROKEN_EXPIRY
	:: atomic { known && h != NOBODY && !e ->
		put(v, NOBODY, false, f);
		forget();
		result = 0 }
#endif
	:: atomic { known && h != NOBODY ->
		/* Trim by age: the floor goes up with the drop. */
		put(v, NOBODY, false, true);
		forget();
		result = 0 }
	:: atomic { known -> forget() }     /* restart, idle */
	od
}

init {
	atomic {
		run Owner(0);
		run Owner(1);
		run Door(1);
		run Door(2)
	}
}
