"""Whether an engine takes one more prompt, for services that are scheduled.

The load: more prompts than engines can begin within their targets. Prompts
wait in the hosts' waiting rooms, where they are ordered, and not at the
engines, which prefill in order of arrival: an engine gets only as many as
keep it busy until hosts have heard of each other. Limits are in learned
time, so engines of any speed are used alike.
"""

import dataclasses
import enum

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import server_load
from crocuskeel.core.scheduling import placement
from crocuskeel.core.scheduling import rates as learned

__all__ = ["NO_URGENT", "Limit", "Urgent", "blocking_limit"]

# Share of the shortest target of the service's other classes that a prompt
# may find queued at an engine, by rank, most urgent first. The rest of the
# target is for the request's own prefill and for errors of the estimate.
QUEUE_SHARES = (0.6, 0.35, 0.2)
# Share of an engine's slots that each rank may fill.
SLOT_SHARES = (1.0, 0.95, 0.85)
# The bound on the queue is at least this, s: hosts hear of each other's
# requests that late, and an engine would run idle meanwhile.
LEAST_QUEUE_S = 0.05
# Share of its time that an engine may spend on prefill, by rank: during
# continuous prefill a token takes several times as long, and long answers
# run out of time.
PREFILL_SHARES = (1.0, 0.95, 0.85)
# An engine that would prefill parts again which another one holds is used
# only below this share.
REPEAT_PREFILL_SHARE = 0.7
# A prompt whose whole prefill takes no longer, s, is exempt from that.
SHORT_PREFILL_S = 0.025


class Limit(enum.StrEnum):
    """What keeps an engine from taking a prompt."""

    SLOTS = "slots"
    QUEUE = "queue"
    MEMORY = "memory"
    PREFILL = "prefill"
    REPEAT = "repeat"


@dataclasses.dataclass(frozen=True, slots=True)
class Urgent:
    """What each engine keeps free for more urgent prompts of other hosts.

    ``time_s`` is the time to prefill them, ``slots`` the number of slots.
    """

    time_s: float
    slots: int


NO_URGENT = Urgent(0.0, 0)


def blocking_limit(host, rates, pending, state, target_s, urgent, now):
    """Return the Limit that an engine would exceed, or None.

    ``target_s`` is the target that bounds the queue, s; ``urgent`` is the
    Urgent that this prompt leaves free.
    """
    rank = min(pending.rank, len(QUEUE_SHARES) - 1)
    slots = server_load.usable_slots(state, now) * SLOT_SHARES[rank]
    if server_load.running_requests(state, now) >= slots - urgent.slots:
        return Limit.SLOTS
    if not admission.has_memory(host, pending, state, now):
        return Limit.MEMORY
    queue_s = placement.queued_s(rates, state, now)
    bound_s = QUEUE_SHARES[rank] * target_s - urgent.time_s
    if queue_s > max(LEAST_QUEUE_S, bound_s):
        return Limit.QUEUE
    if state.prefill_share > PREFILL_SHARES[rank]:
        return Limit.PREFILL
    if state.prefill_share > REPEAT_PREFILL_SHARE and _repeats_prefill(
            host, rates, pending, state):
        return Limit.REPEAT
    return None


def _repeats_prefill(host, rates, pending, state):
    """Say whether an engine would read parts that another one holds."""
    read, _, repeated = placement.prefill_tokens(host, state, pending)
    rate = learned.tokens_per_s(rates, state.server.sid)
    return bool(repeated) and read / rate > SHORT_PREFILL_S
