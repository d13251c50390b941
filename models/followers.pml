/*
 * The way of settings to the hosts, over restarts in a platform outage.
 *
 * Three followers, so a generation's two holders are not all hosts. A
 * follower holds nothing over a restart. It takes a generation from the
 * platform or from a peer and puts it in force once a peer holds it too.
 * After a restart it does so only once it has recovered: it has read the
 * head, or each other follower has vouched for the generations that it held.
 * Messages arrive at once, or never; one confirmation and one answer at a
 * time arrive late, after restarts of sender and receiver too. In
 * deaths.pml a follower may die.
 *
 * Invariant, as an assertion: what a follower puts in force never goes
 * back, over restarts too.
 *
 * Each of these takes one mechanism out:
 *   BROKEN_NO_RECOVERY    a restarted follower takes what a peer offers
 *   BROKEN_FORCE_ALONE    a follower puts in force what no peer holds
 *   BROKEN_TAKE_OLDER     a follower takes an older generation of a peer
 *   BROKEN_ONE_VOUCH      the word of one peer is enough
 *   BROKEN_BLANK_VOUCH    a follower vouches that has not recovered
 *   BROKEN_OLD_ANSWER     an answer to an earlier process counts
 *   BROKEN_OLD_CONFIRM    a confirmation by an earlier process counts
 *   BROKEN_HELD_ONLY      a follower that has recovered vouches for what it
 *                         holds, not for what it may have held before
 */
#define FOLLOWERS 3
#define GENERATIONS 2
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define MAY_RESTART(id) ((id) < 2)
#define PAIR(from, to) ((from) * FOLLOWERS + (to))
#define ALL ((1 << FOLLOWERS) - 1)
#define BIT(id) (1 << (id))
#define NOBODY 255

/* The platform: the head, and whether it can be reached. */
byte generation = 1;
bool up = true;

/* Followers, with one generation in force; ``process`` counts restarts. */
byte held[FOLLOWERS] = 1;
byte lowest[FOLLOWERS] = 1;
bool recovered[FOLLOWERS] = true;
byte process[FOLLOWERS] = 0;
byte vouched[FOLLOWERS];
byte vouched_floor[FOLLOWERS];
/* What a follower knows of a peer's process, by PAIR(me, peer). */
byte known[9];
#ifdef DEATHS
byte dead = NOBODY;
bool read_since_death[FOLLOWERS];
byte head_read[FOLLOWERS];
#else
#define dead NOBODY
#endif

/* A confirmation and an answer that arrive late; a pair of 0: none. */
byte confirm_pair = 0;
byte confirm_generation = 0;
byte confirm_process = 0;
byte answer_pair = 0;
byte answer_process = 0;
byte answer_floor = 0;
bool answer_gone = false;

/* The newest generation that was in force; no process decides by it. */
byte judged[FOLLOWERS] = 1;
byte restarts = 0;

inline put_in_force(me) {
	if
	:: recovered[me] && held[me] >= lowest[me] ->
		assert(held[me] >= judged[me]);
		judged[me] = held[me]
	:: else
	fi
}

inline confirmed(me, peer, its_process, its_generation) {
	if
#ifdef BROKEN_OLD_CONFIRM
	:: true ->
#else
	:: its_process >= known[PAIR(me, peer)] ->
#endif
		known[PAIR(me, peer)] = its_process;
		if
#ifdef BROKEN_TAKE_OLDER
		:: its_generation != held[me] ->
#else
		:: its_generation > held[me] ->
#endif
			held[me] = its_generation;
			put_in_force(me)
		:: its_generation == held[me] -> put_in_force(me)
		:: else
		fi
	:: else
	fi
}

/* Sets floor and gone to what a follower vouches for. */
inline vouch(me) {
	floor = held[me];
#ifndef BROKEN_HELD_ONLY
	floor = (lowest[me] > floor -> lowest[me] : floor);
#endif
#ifdef DEATHS
	gone = read_since_death[me];
#ifndef BROKEN_READ_IGNORED
	floor = (gone && head_read[me] > floor -> head_read[me] : floor)
#endif
#endif
}

inline answered(me, peer, to_process, its_floor, its_gone) {
	if
#ifdef BROKEN_OLD_ANSWER
	:: !recovered[me] ->
#else
	:: !recovered[me] && to_process == process[me] ->
#endif
		vouched[me] = vouched[me] | BIT(peer);
#ifdef DEATHS
		vouched[me] = (its_gone -> vouched[me] | BIT(dead) : vouched[me]);
#endif
#ifdef BROKEN_DEAD_IGNORED
		vouched[me] = (dead != NOBODY -> vouched[me] | BIT(dead) :
			vouched[me]);
#endif
		vouched_floor[me] = (its_floor > vouched_floor[me] -> its_floor :
			vouched_floor[me]);
		if
#ifdef BROKEN_ONE_VOUCH
		:: true ->
#else
		:: (vouched[me] | BIT(me)) == ALL ->
#endif
			recovered[me] = true;
			lowest[me] = vouched_floor[me];
			vouched[me] = 0;
			vouched_floor[me] = 0
		:: else
		fi
	:: else
	fi
}

inline read_head(me) {
#ifdef DEATHS
	head_read[me] = generation;
	read_since_death[me] = (dead != NOBODY);
#endif
	if
	:: !recovered[me] ->
		recovered[me] = true;
		lowest[me] = generation;
		vouched[me] = 0;
		vouched_floor[me] = 0
	:: else
	fi
}

inline restart(me) {
	restarts++;
	process[me]++;
	held[me] = 0;
	lowest[me] = 0;
	recovered[me] = false;
#ifdef BROKEN_NO_RECOVERY
	recovered[me] = true;
#endif
	vouched[me] = 0;
	vouched_floor[me] = 0;
#ifdef DEATHS
	head_read[me] = 0;
	read_since_death[me] = false;
#endif
	known[PAIR(me, 0)] = 0;
	known[PAIR(me, 1)] = 0;
	known[PAIR(me, 2)] = 0
}

proctype Platform() {
end:
	do
	:: d_step { up && generation < GENERATIONS -> generation++ }
	:: d_step { up -> up = false }
	:: d_step { !up -> up = true }
	od
}

/* What a peer tells a follower, now or late. */
inline told(me, peer) {
	if
	:: d_step { held[peer] > 0 ->
		confirmed(me, peer, process[peer], held[peer]) }
	/* Late news of the first generation changes nothing. */
	:: d_step { held[peer] > 1 && confirm_pair == 0 ->
		confirm_pair = PAIR(peer, me) + 1;
		confirm_generation = held[peer];
		confirm_process = process[peer] }
#ifdef BROKEN_BLANK_VOUCH
	:: d_step { !recovered[me] ->
#else
	:: d_step { !recovered[me] && recovered[peer] ->
#endif
		known[PAIR(peer, me)] = process[me];
		vouch(peer);
		answered(me, peer, process[me], floor, gone);
		floor = 0;
		gone = false }
#ifdef BROKEN_BLANK_VOUCH
	:: d_step { !recovered[me] && answer_pair == 0 ->
#else
	:: d_step { !recovered[me] && recovered[peer] && answer_pair == 0 ->
#endif
		known[PAIR(peer, me)] = process[me];
		vouch(peer);
		answer_pair = PAIR(peer, me) + 1;
		answer_process = process[me];
		answer_floor = floor;
		answer_gone = gone;
		floor = 0;
		gone = false }
	:: else
	fi
}

inline late_messages(me, peer) {
	if
	:: d_step { confirm_pair == PAIR(peer, me) + 1 ->
		confirmed(me, peer, confirm_process, confirm_generation);
		confirm_pair = 0;
		confirm_generation = 0;
		confirm_process = 0 }
	:: d_step { answer_pair == PAIR(peer, me) + 1 ->
		answered(me, peer, answer_process, answer_floor, answer_gone);
		answer_pair = 0;
		answer_process = 0;
		answer_floor = 0;
		answer_gone = false }
	:: else
	fi
}

proctype Follower(byte me) {
	byte peer, floor;
	bool gone;
end:
	do
#ifdef DEATHS
	:: dead == me -> break
	:: d_step { dead == NOBODY && me == 0 && held[me] > 0 -> dead = me }
	:: d_step { dead != me && up && (!recovered[me] ||
		head_read[me] != generation ||
		read_since_death[me] != (dead != NOBODY)) ->
#else
	:: d_step { up && !recovered[me] ->
#endif
		read_head(me) }
	:: d_step { dead != me && up && recovered[me] &&
		held[me] < generation ->
		held[me] = generation;
#ifdef DEATHS
		head_read[me] = generation;
#endif
#ifdef BROKEN_FORCE_ALONE
		put_in_force(me)
#endif
		}
	/* Followers are alike, so any two of them are the first two. */
	:: d_step { dead != me && MAY_RESTART(me) && restarts < RESTARTS &&
		held[me] > 0 ->
		restart(me) }
	:: atomic { dead != me ->
		if
		:: peer = (me + 1) % FOLLOWERS
		:: peer = (me + 2) % FOLLOWERS
		fi;
		if
		:: peer != dead -> told(me, peer)
		:: late_messages(me, peer)
		fi;
		peer = 0 }
	od
}

init {
	atomic {
		run Platform();
		run Follower(0);
		run Follower(1);
		run Follower(2)
	}
}
