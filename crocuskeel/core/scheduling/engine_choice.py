"""Finds an engine that takes a prompt now, for scheduled services."""

import collections
import math

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import server_choice
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import groups
from crocuskeel.core.scheduling import limits
from crocuskeel.core.scheduling import placement
from crocuskeel.core.scheduling import rates as learned

__all__ = ["engines_rate", "find_engine", "interactive_engines"]


def interactive_engines(host, schedule, service, now):
    """Return the ids of the engines that interactive streams use."""
    gap_s = schedule.gap_s
    if gap_s is None:
        return frozenset()

    def needed(engines):
        streams = sum(groups.interactive_streams(state, gap_s)
                      for state in engines)
        return groups.engines_needed(
            schedule.group, streams, learned.tokens_per_s(schedule.rates, ""),
            learned.prefill_pause_s(schedule.rates, ""), gap_s)

    return groups.update(
        schedule.group, needed,
        lambda: server_choice.healthy_servers(host, service, now), now)


def find_engine(host, schedule, pending, tried, now):
    """Return (engine, None), or (None, the Limit that most engines have).

    Interactive streams use the engines of their group first and others if
    these are full: they are never rejected while larger prompts begin.
    Other prompts use the group only if there is no other engine. The second
    item is None if no engine is healthy. Updates the candidates, the rank
    and what engines hold of the prompt in ``pending``.
    """
    pending.candidates = candidates.pick(host, pending)
    pending.rank = admission.rank(host, pending, now)
    prefix_cache.note_fetchable(
        pending, server_choice.fetch_sources(host, pending, now), now)
    pending.known_tokens = max(
        (prefix_cache.cached_tokens(state, pending.request.prompt)
         for state in pending.candidates), default=0)
    engines = [state for state in server_choice.healthy(host, pending, now)
               if state.server.sid not in tried]
    group = interactive_engines(host, schedule, pending.service, now)
    inside = [state for state in engines if state.server.sid in group]
    outside = [state for state in engines if state.server.sid not in group]
    is_interactive = groups.is_interactive(pending.route, schedule.gap_s)
    pools = (inside, outside) if is_interactive else (outside or inside,)
    target_s = schedule.queue_target_s
    if is_interactive:
        target_s = pending.route.target_s
    urgent = _urgent(host, schedule, pending, engines, now)
    found = collections.Counter()
    for pool in pools:
        free = []
        for state in pool:
            limit = limits.blocking_limit(host, schedule.rates, pending,
                                          state, target_s, urgent, now)
            if limit is None:
                free.append(state)
            else:
                found[limit] += 1
        if free:
            return placement.cheapest(
                host, schedule, free, pending, is_interactive, now), None
    return None, found.most_common(1)[0][0] if found else None


def _urgent(host, schedule, pending, engines, now):
    """Return what more urgent prompts elsewhere wait for, as a limits.Urgent.

    Without it a host would give to its own prompts what other hosts' more
    urgent ones wait for.
    """
    before = pending.service, pending.route.priority - 1, now
    requests = fleet_demand.requests_ahead(host.queued_elsewhere, *before)
    if not requests or not engines:
        return limits.NO_URGENT
    tokens = fleet_demand.ahead(host.queued_elsewhere, *before)
    return limits.Urgent(
        tokens / max(1.0, engines_rate(schedule, engines)),
        math.ceil(requests / len(engines)))


def engines_rate(schedule, engines):
    """Return the tokens a second that engines prefill together."""
    return sum(learned.tokens_per_s(schedule.rates, state.server.sid)
               for state in engines)
