"""The work that waits for a service's engines.

The load: bursts of one class that outlast the boot time of an engine.
Engines that are full look the same whatever waits for them, so the orders
for engines have to count what waits and what was rejected.
"""

from crocuskeel.core.entry import fleet
from crocuskeel.core.scheduling import engine_choice
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import services
from crocuskeel.core.scheduling import waiting_room

__all__ = ["note_rejected", "queued_engines"]

# Rejected prompts count for this long, s: their callers come back later
# than that or not at all.
REJECTED_S = 1.0


def note_rejected(schedule, tokens, now):
    """Count the tokens of a prompt that was rejected."""
    _forget(schedule, now)
    schedule.rejected.append((now, tokens))


def _forget(schedule, now):
    while schedule.rejected and schedule.rejected[0][0] < now - REJECTED_S:
        schedule.rejected.popleft()


def queued_engines(host, service, engines, now):
    """Return how many more engines would serve what waits in a second.

    0.0 for a service that is not scheduled. What other hosts rejected isn't
    known here; callers spread evenly over the serving hosts, so each is
    taken to have rejected as much as this one.
    """
    schedule = services.find(host, service)
    if schedule is None or not engines:
        return 0.0
    _forget(schedule, now)
    own = waiting_room.backlog(schedule.room).values()
    others = fleet_demand.queued(host.queued_elsewhere, service, now).values()
    tokens = sum(count for _, count in (*own, *others))
    hosts = max(1, len(fleet.serving_hosts(host, now)))
    tokens += hosts * sum(count for _, count in schedule.rejected)
    rate = engine_choice.engines_rate(schedule, engines) / len(engines)
    return tokens / rate
