"""Which requests a loaded service takes: early, by tier, with a reason.

An engine that takes every prompt reads all of them at once: each gets
its first token late, and streams run out of time half done. So a request
is sent only while its engine can be expected to begin it well within its
goal. A lower tier stops sooner, which leaves the rest of each engine's
time to higher tiers. What is not sent is refused soon, with the time to
come back. One that did come back is late already and finds no more room
than a fresh one: with twice the wait and one more place it took the room
of those that could still be on time, and at three times the load that
engines can do 0.37 of what the highest class was worth came in, with
equal room 0.67 (emulator).
"""

from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import cost
from crocuskeel.core.entry import floors
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import serverload

__all__ = ["HOLD_SHARE", "admits", "came_back", "hold_until", "look_at",
           "may_spill", "rank", "retry_s"]

# The figures by rank were found by trial on six days of high load: of
# what callers' requests were worth there 0.559 came in with bounds on
# waiting alone, 0.582 with ranks by the workspace, 0.659 by the route.
#
# Share of its goal that a request may expect to wait for its first
# token, by rank, most urgent first; the last holds for all ranks below.
WAIT_SHARES = (0.6, 0.4, 0.18)
# Prompts that an engine may have before it, by rank. It reads a part of
# one between any two tokens of its running streams: while it reads
# without a pause, a token takes 27 ms in place of 5 ms, and one stream in
# ten runs out of time.
READING_MOST = (6, 3, 1)
# Share of its time that an engine may read prompts, by rank: its running
# streams go on five times as fast in the rest. On a day of high load with
# 30 engines 0.503 of what callers' requests were worth came in with this
# bound and the next, 0.300 without. Tighter ones (0.9, 0.75; 0.5) brought
# 0.525 there, but took 0.012 from a quiet day with six engines.
BUSY_SHARES = (1.0, 0.95, 0.85)
# An engine that doesn't hold a request's shared parts takes it only if it
# reads less than this: reading them again displaces three requests.
SPILL_BUSY = 0.7
# Streams, as urgent or more, that a prompt may make late: letting it in
# would lose more than it gains. On a day of high load 264 of 891 of the
# most urgent streams were late without this bound, and 0.51 of what
# requests were worth came in; with it 0.58.
LATE_MOST = 1.0
# Of its memory an engine's requests may come to hold this share: each
# host hears of others' with a delay, in which they may take the rest.
MEMORY_SHARE = 0.9
# A workspace of the first priority may wait this many times as long.
FIRST_SHARE = 1.3
# Slots that each rank may fill, as a share.
SLOT_SHARES = (1.0, 0.95, 0.85)
# A request is held for room this long, as a share of its goal, and
# looked at this often, s. All that are held together are looked at so
# many times a second: a look costs 0.4 ms among 70 engines, and 300 held
# requests would take a whole core.
HOLD_SHARE = 0.5
RECHECK_S = 0.04
LOOKS_A_SECOND = 200.0
# A caller's time limit that is this much below its route's shows that a
# part of it went by elsewhere.
BACK_LIMIT = 0.97
# When to come back, as shares of the time that is left: a caller waits
# no longer than a third.
RETRY_SHARES = (0.15, 0.33)


def admits(host, pending, target, now):
    """Say whether a request may go to a server now."""
    if pending.request.prompt is None:
        return True
    rank = pending.rank
    most = serverload.slots(target, now) * SLOT_SHARES[rank]
    if serverload.running(target, now) >= most:
        return False
    if target.busy > BUSY_SHARES[rank] and not came_back(pending):
        return False
    most, share = _bounds(pending, rank)
    if serverload.reading(target, now) >= most:
        return False
    if not _fits(host, pending, target, now):
        return False
    if not _spares(host, pending, target, now):
        return False
    return serverload.ahead_s(target, now) <= share * pending.route.goal_s


def _fits(host, pending, target, now):
    """Say whether an engine has memory for one more prompt.

    One that runs out puts back what it has begun, and reads it again. An
    idle engine takes any prompt. No gain is measured yet: on a day of
    high load 32 requests were put back with this bound and without.
    """
    engine = parts.engine_of(host, pending.service)
    used = serverload.memory(target, now)
    if engine is None or not used:
        return True
    prompt = pending.request.prompt
    return used + prompt.tokens + prompt.output <= (
        engine.memory * MEMORY_SHARE)


def _spares(host, pending, target, now):
    """Say whether an engine's streams can bear one more prompt.

    One that was refused before is let in also where it makes others
    late, if it does so at every engine: with one engine left, long
    prompts would otherwise get nothing while streams run.
    """
    if cost.later_streams(host, target, pending, now) <= LATE_MOST:
        return True
    if not came_back(pending):
        return False
    return not any(
        cost.later_streams(host, state, pending, now) <= LATE_MOST
        for state in choosing.sound(host, pending, now))


def _bounds(pending, rank):
    """Return (prompts ahead, share of the goal to wait) at the most."""
    most, share = READING_MOST[rank], WAIT_SHARES[rank]
    if pending.priority < pending.route.priority and not pending.priority:
        share *= FIRST_SHARE
    return most, share


def may_spill(host, pending, target):
    """Say whether an engine has time to read shared parts once more.

    What it gets from another engine it need not read.
    """
    return (target.busy <= SPILL_BUSY
            or parts.fetchable(host, pending, parts.held(
                target, pending.request.prompt)) > 0)


def rank(host, pending, now):
    """Return the rank by whose bounds a request is let in; 0 is first.

    Workspaces' priorities order what an engine has; which kinds of
    request are let in is for the routes' to say, as most workspaces share
    one. It is the same at each server that is looked at.
    """
    if pending.request.prompt is None:
        return 0
    if floors.is_owed(host, pending, now):
        return 0
    return min(max(0, pending.route.priority), len(WAIT_SHARES) - 1)


def came_back(pending):
    """Say whether a request was refused or failed somewhere before."""
    limit = pending.request.deadline_s
    return limit is not None and (
        limit < pending.route.timeout_s * BACK_LIMIT)


def hold_until(pending):
    """Return until when a request is held for room.

    One that may have run can't be refused as not run: it waits on.
    """
    if pending.may_have_run:
        return pending.ends_at
    return pending.at + HOLD_SHARE * pending.route.goal_s


def look_at(host, now):
    """Return when to look at a held request again."""
    return now + max(RECHECK_S, len(host.held) / LOOKS_A_SECOND)


def retry_s(host, pending, now):
    """Return when a refused caller should come back, s.

    Spread out, so that callers of one burst don't return as another.
    """
    least, most = RETRY_SHARES
    left = pending.ends_at - now
    return left * (least + (most - least) * host.rng.random())
