/*
 * The commit of settings; followers.pml has their way to the hosts.
 *
 * Operators commit batches by a conditional update of the head. A write's
 * answer may be lost before or after its effect, and a write may take
 * effect late. Operators send a batch again, as anew, after its end.
 *
 * Invariants, as assertions:
 *   - a batch takes effect at most once;
 *   - an accepted batch is never lost from the head's content;
 *   - a batch reported as not applied never takes effect.
 *
 * Each of these takes one mechanism out:
 *   BROKEN_NO_READBACK  the head is not searched for the batch's id
 *   BROKEN_NO_WINDOW    a batch older than the window is taken as new
 *   BROKEN_BLIND_WRITE  the head's update is not conditional
 *   BROKEN_EARLY_NO     an unsettled write is reported as not applied
 *   BROKEN_DENY_FIRST   a second attempt forgets that of the first
 */

#define WINDOW 2
#define BATCHES 4
#define TRIES 2
#define SENDS 2
#define ANY_HEAD 255
#define BIT(id) (1 << (id))

/* The platform: the head, and whether it can be reached. */
byte generation = 0;
byte content = 0;
byte recent[WINDOW];
bool up = true;

/* Observers of the invariants; no process decides by these. */
byte effects[BATCHES];
byte accepted = 0;
bool said_no[BATCHES];

/* Writes that will take effect late, one at most for an operator. */
bool late[2];
byte late_generation[2];
byte late_content[2];
byte late_id[2];

inline update_head(read_generation, read_content, id, written) {
	written = (read_generation == generation);
#ifdef BROKEN_BLIND_WRITE
	written = true;
#endif
	if
	:: written ->
		generation++;
		effects[id]++;
		recent[generation % WINDOW] = id;
		content = read_content | BIT(id);
		assert(effects[id] <= 1);
		assert(!said_no[id]);
		assert((accepted & content) == accepted);
		accepted = accepted | content
	:: else
	fi
}

inline read_head() {
	seen_generation = generation;
	seen_content = content;
	found = (generation >= 1 && recent[generation % WINDOW] == id) ||
		(generation >= 2 && recent[(generation - 1) % WINDOW] == id);
#ifdef BROKEN_NO_READBACK
	found = false;
#endif
	too_old = (generation > WINDOW && base + 1 < generation - WINDOW + 1);
#ifdef BROKEN_NO_WINDOW
	too_old = false;
#endif
	/* Only a newer head proves that the earlier write can't land. */
	if
	:: unsettled && written_on == ANY_HEAD -> written_on = generation
	:: else
	fi;
	unsettled = unsettled && generation <= written_on
}

inline commit(id, base) {
	tries = TRIES;
	said_no[id] = false;
	/* An earlier attempt's write may be under way, on any head. */
	unsettled = (sends > 1);
	written_on = ANY_HEAD;
#ifdef BROKEN_DENY_FIRST
	unsettled = false;
#endif
	ended = false;
	do
	:: ended -> break
	:: !ended && tries == 0 ->
		/* The store can't be reached, or every race was lost. */
		d_step {
#ifdef BROKEN_EARLY_NO
			unsettled = false;
#endif
			said_no[id] = said_no[id] || !unsettled;
			ended = true
		}
	:: !ended && tries > 0 ->
		tries--;
		if
		:: !up
		:: up ->
			d_step { read_head() };
			if
			:: found ->
				assert(effects[id] == 1);
				ended = true
			:: !found && too_old ->
				ended = true
			:: else ->
				written_on = seen_generation;
				if
				:: d_step { /* answered */
					update_head(seen_generation, seen_content, id, written);
					ended = written }
				:: d_step { /* answer lost after the effect */
					update_head(seen_generation, seen_content, id, written);
					unsettled = true }
				:: d_step { /* lost on the way there */
					unsettled = true }
				:: d_step { !late[me] -> /* under way, its answer given up */
					late[me] = true;
					late_generation[me] = seen_generation;
					late_content[me] = seen_content;
					late_id[me] = id;
					unsettled = true }
				fi
			fi
		fi;
		/* Fewer states: forget what is not read again. */
		d_step {
			seen_generation = 0;
			seen_content = 0;
			found = false;
			too_old = false;
			written = false;
			if
			:: !unsettled -> written_on = 0
			:: else
			fi
		}
	od
}

proctype Operator(byte me; byte first; byte last) {
	byte id = first;
	byte base, sends, tries, seen_generation, seen_content, written_on;
	bool found, too_old, unsettled, ended, written;

	do
	:: id > last -> break
	:: else ->
		base = generation;
		sends = 0;
		do
		:: sends == SENDS -> break
		:: sends < SENDS ->
			sends++;
			commit(id, base)
		od;
		id++
	od
}

/* Delivers late writes and takes the platform away and back. */
proctype Platform() {
	bool written;
	byte outages = 0;
end:
	do
	:: d_step { late[0] -> late[0] = false;
		update_head(late_generation[0], late_content[0], late_id[0],
			written);
		late_generation[0] = 0;
		late_content[0] = 0;
		late_id[0] = 0;
		written = false }
	:: d_step { late[1] -> late[1] = false;
		update_head(late_generation[1], late_content[1], late_id[1],
			written);
		late_generation[1] = 0;
		late_content[1] = 0;
		late_id[1] = 0;
		written = false }
	:: d_step { up && outages < 1 -> up = false; outages++ }
	:: d_step { !up -> up = true }
	od
}

init {
	atomic {
		run Operator(0, 1, 1);
		run Operator(1, 2, 3);
		run Platform()
	}
}
