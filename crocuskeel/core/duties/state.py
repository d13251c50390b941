"""State of the duties on a host."""

import dataclasses

from crocuskeel.core.duties import demand
from crocuskeel.core.duties import handover as handovers
from crocuskeel.core import leadership

__all__ = ["Duties", "DutyCall", "Leader", "new_duties"]


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The holder of the lease as of a version of the lease object.

    ``host`` is empty if the lease was free.
    """

    version: int = -1
    host: str = ""
    fence: int = 0


@dataclasses.dataclass(slots=True)
class DutyCall:
    """The latest call of a subject, and when it may be repeated.

    ``completed_at``: when it was carried out; ``unavailable``: the
    platform had none of the ordered engines.
    """

    call: object
    in_progress: bool = False
    failures: int = 0
    retry_at: float = 0.0
    completed_at: float = 0.0
    unavailable: bool = False
    # Number of engines that served when it was last checked.
    served: int = 0


@dataclasses.dataclass(slots=True)
class Duties:
    """State of the duties on a host.

    ``tables`` holds counts by (host, boot), including this host's
    ``table``. ``reported_to`` is (host, fence) of the holder to whom this
    host sends its counts, since ``reported_to_since``. ``calls`` holds the
    latest call of each subject, if this host is the holder.
    """

    lease_state: leadership.Candidate
    begun_at: float
    leader: Leader = Leader()
    # When the lease was found to be free.
    free_at: float | None = None
    releasing: bool = False
    offsets: dict = dataclasses.field(default_factory=dict)
    table: dict = dataclasses.field(default_factory=dict)
    tables: dict = dataclasses.field(default_factory=dict)
    # By window: when this host last counted a request in it.
    counted_at: dict = dataclasses.field(default_factory=dict)
    reported_to: tuple = ()
    reported_to_since: float = 0.0
    handover: handovers.HandoverState = dataclasses.field(
        default_factory=handovers.HandoverState)
    # The record known to be stored in the lease object, raw and parsed.
    committed_record: dict | None = None
    committed: handovers.HandoverState = dataclasses.field(
        default_factory=handovers.HandoverState)
    calls: dict = dataclasses.field(default_factory=dict)
    # By service.
    demands: dict[str, demand.Demand] = dataclasses.field(
        default_factory=dict)


def new_duties(cfg, rng, now):
    """Return the state of the duties on a host that has just started.

    ``cfg`` is a :class:`leadership.Config`. An earlier incarnation of the
    host may have acted until now, so the cooldown applies as after a loss
    of the lease.
    """
    return Duties(leadership.Candidate(
        cfg=cfg, rng=rng, cooldown_until=now + cfg.cooldown_s), now)
