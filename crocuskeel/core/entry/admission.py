"""Admission control: which requests a loaded service accepts.

An engine that accepts every prompt prefills all of them at once: each
gets its first token late, and streams time out unfinished. So a request
is sent only while its engine is expected to begin it well within its
goal. Less urgent ranks are stopped sooner, which reserves the rest of
each engine's time for more urgent ones. A request that is not sent is
refused soon, with a retry delay. One that its caller sends again after a
refusal is late already and has the same limits as a new one: with twice
the wait and one more prompt it displaced requests that could still be on
time, and in the emulator, at three times the load that the engines can
serve, the goodput of the highest class was 0.37, with equal limits 0.67.
(Goodput is the served share of the value of all requests.)
"""

from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import cost
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import server_choice
from crocuskeel.core.entry import server_load

__all__ = ["QUEUE_TIME_SHARE", "admits", "has_memory", "is_callers_retry",
           "may_prefill_again", "next_check", "queue_until", "rank",
           "retry_delay_s"]

# Over six days of high load goodput was 0.559 with limits on the wait alone,
# 0.582 with ranks by the workspace's priority, and 0.659 with ranks by the
# route's.
#
# Share of its goal that a request may expect to wait for its first
# token, by rank, most urgent first; the last is for all lower ranks.
MAX_WAIT_SHARES = (0.6, 0.4, 0.18)
# Prompts that may wait for prefill at an engine, by rank. An engine prefills
# a chunk of one between any two tokens of its running streams: during
# continuous prefill a token takes 27 ms instead of 5 ms, and one stream in
# ten times out.
MAX_PREFILLS_AHEAD = (6, 3, 1)
# Share of its time that an engine may spend on prefill, by rank: its running
# streams decode five times as fast in the rest. On a day of high load with
# 30 engines goodput was 0.503 with this limit and the next, 0.300 without.
# Tighter ones (0.9, 0.75; 0.5) gave 0.525 there, but cost 0.012 on a quiet
# day with six engines.
MAX_PREFILL_SHARES = (1.0, 0.95, 0.85)
# An engine that doesn't cache a request's shared parts is used only if its
# prefill share is at most this: a repeated prefill displaces three requests.
SPILL_MAX_PREFILL_SHARE = 0.7
# A prompt whose whole prefill takes no longer, s, is exempt from that: it
# delays others by some ten decode steps.
SHORT_PREFILL_S = 0.025
# Streams of the same or a more urgent priority that a prompt may make late:
# beyond this, admitting it would lose more than it gains. On a day of high
# load 264 of 891 of the most urgent streams were late without this limit;
# goodput was 0.51 without and 0.58 with it.
MAX_LATE_STREAMS = 1.0
# Share of an engine's memory that its requests may come to use: a host
# learns of other hosts' requests with a delay, in which they may use the
# rest.
MAX_MEMORY_SHARE = 0.9
# Requests of a workspace with the first priority may wait this many times
# as long.
TOP_PRIORITY_WAIT_FACTOR = 1.3
# Share of an engine's slots that each rank may fill.
MAX_SLOT_SHARES = (1.0, 0.95, 0.85)
# A request without capacity is queued for this share of its goal and checked
# at this interval, s. All queued requests together are checked at most so
# many times a second: a check takes 0.4 ms with 70 engines, and 300 queued
# requests would use a whole core.
QUEUE_TIME_SHARE = 0.5
RECHECK_S = 0.04
MAX_CHECKS_PER_S = 200.0
# A time limit below this share of the route's shows that the caller has
# spent a part of it on an earlier attempt.
FULL_TIMEOUT_SHARE = 0.97
# Least and greatest retry delay, as shares of the time left: a caller waits
# no longer than a third of it.
RETRY_DELAY_SHARES = (0.15, 0.33)


def admits(host, pending, target, now):
    """Say whether a request may be sent to a server now."""
    if pending.request.prompt is None:
        return True
    return (_is_within_bounds(host, pending, target, now)
            and not _is_reserved(host, pending, target, now))


def _is_reserved(host, pending, target, now):
    """Say whether a server is reserved for a more urgent class.

    The bounds go by a request's own goal, so an engine may admit a long
    prompt while it admits no short one that is more urgent. So larger
    requests wait while no engine admits those of a more urgent class. The
    guarantee of a class takes precedence, and a request that may have run
    is not held back.
    """
    if pending.may_have_run or pending.rank < _rank_by_route(pending):
        return False
    return any(not _finds_server(host, stats, pending, now)
               and not _accepts(host, stats.latest, target, now)
               for stats in class_minimums.more_urgent(host, pending, now))


def _accepts(host, pending, target, now):
    cached = prefix_cache.cached_tokens(target, pending.request.prompt)
    if (cached < pending.cached_elsewhere_tokens
            and not may_prefill_again(host, pending, target)):
        return False
    return _is_within_bounds(host, pending, target, now)


def _finds_server(host, stats, pending, now):
    """Say whether any candidate of a request admits one of a class now."""
    if stats.checked_at != now:
        stats.checked_at = now
        stats.finds_server = any(
            _accepts(host, stats.latest, state, now)
            for state in server_choice.healthy(host, pending, now))
    return stats.finds_server


def _is_within_bounds(host, pending, target, now):
    rank = pending.rank
    limit = server_load.usable_slots(target, now) * MAX_SLOT_SHARES[rank]
    if server_load.running_requests(target, now) >= limit:
        return False
    if (target.prefill_share > MAX_PREFILL_SHARES[rank]
            and not is_callers_retry(pending)):
        return False
    limit, share = _bounds(pending, rank)
    if server_load.queued_prompts(target, now) >= limit:
        return False
    if not has_memory(host, pending, target, now):
        return False
    if not _keeps_streams_on_time(host, pending, target, now):
        return False
    return server_load.queued_prefill_s(target,
                                        now) <= share * pending.route.target_s


def has_memory(host, pending, target, now):
    """Say whether an engine has memory for one more prompt.

    An engine that runs out of memory preempts running requests and
    prefills them again later. An idle engine accepts any prompt. On a day
    of high load 32 requests were preempted both with and without this limit.
    """
    engine = prefix_cache.engine_config(host, pending.service)
    used = server_load.reserved_memory(target, now)
    if engine is None or not used:
        return True
    prompt = pending.request.prompt
    return used + prompt.tokens + prompt.max_output_tokens <= (
        engine.memory * MAX_MEMORY_SHARE)


def _keeps_streams_on_time(host, pending, target, now):
    """Say whether an engine's streams tolerate one more prompt.

    A request that was refused before is admitted even if it makes streams
    late, provided that it would do so at every engine: with one engine
    left, long prompts would otherwise never be admitted while streams run.
    """
    if cost.late_streams(host, target, pending, now) <= MAX_LATE_STREAMS:
        return True
    if not is_callers_retry(pending):
        return False
    return not any(
        cost.late_streams(host, state, pending, now) <= MAX_LATE_STREAMS
        for state in server_choice.healthy(host, pending, now))


def _bounds(pending, rank):
    """Return the limits (prompts ahead, share of the goal to wait)."""
    limit, share = MAX_PREFILLS_AHEAD[rank], MAX_WAIT_SHARES[rank]
    if pending.priority < pending.route.priority and not pending.priority:
        share *= TOP_PRIORITY_WAIT_FACTOR
    return limit, share


def may_prefill_again(host, pending, target):
    """Say whether an engine has time to prefill shared parts once more.

    Parts that it can fetch from another engine need no prefill, and a short
    prompt takes hardly any time from others.
    """
    if target.prefill_share <= SPILL_MAX_PREFILL_SHARE:
        return True
    cached = prefix_cache.cached_tokens(target, pending.request.prompt)
    if prefix_cache.fetchable_tokens(host, pending, cached) > 0:
        return True
    tokens = prefix_cache.prefill_tokens(host, target, pending)
    return server_load.prefill_s(target, tokens) <= SHORT_PREFILL_S


def rank(host, pending, now):
    """Return the rank whose limits apply to a request; 0 is most urgent.

    It follows the route's priority, as most workspaces have the same one;
    workspaces' priorities order the requests within an engine. The rank of
    a request is the same for all servers.
    """
    if pending.request.prompt is None:
        return 0
    if class_minimums.is_below_minimum(host, pending, now):
        return 0
    return _rank_by_route(pending)


def _rank_by_route(pending):
    return min(max(0, pending.route.priority), len(MAX_WAIT_SHARES) - 1)


def is_callers_retry(pending):
    """Say whether an earlier attempt of the caller was refused or failed."""
    limit = pending.request.deadline_s
    return limit is not None and (
        limit < pending.route.timeout_s * FULL_TIMEOUT_SHARE)


def queue_until(pending):
    """Return until when a request is queued for capacity.

    One that may have run stays queued until its time limit, as it can't
    be refused as not run.
    """
    if pending.may_have_run:
        return pending.deadline_at
    return pending.arrived_at + QUEUE_TIME_SHARE * pending.route.target_s


def next_check(host, now):
    """Return when to check a queued request again."""
    return now + max(RECHECK_S, len(host.held) / MAX_CHECKS_PER_S)


def retry_delay_s(host, pending, now):
    """Return the seconds after which a refused caller should retry.

    Random, so that the callers of one burst don't retry in another burst.
    """
    least, most = RETRY_DELAY_SHARES
    left = pending.deadline_at - now
    return left * (least + (most - least) * host.rng.random())
