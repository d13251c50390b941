"""What a host holds of the duties."""

import dataclasses

from crocuskeel.core.duties import book as books
from crocuskeel.core.duties import demand
from crocuskeel.core import leadership

__all__ = ["Duties", "Leader", "Open", "new_duties"]


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """Who held the lease as of a version of its object.

    ``host`` is empty if nobody did.
    """

    version: int = -1
    host: str = ""
    fence: int = 0


@dataclasses.dataclass(slots=True)
class Open:
    """A call of a duty: what is sent, and when it may be sent again.

    ``settled_at``: when it was carried out; ``none_left``: the platform
    had none of the engines that it asks for.
    """

    call: object
    under_way: bool = False
    failures: int = 0
    due_at: float = 0.0
    settled_at: float = 0.0
    none_left: bool = False
    # Engines that served when it was last looked at.
    served: int = 0


@dataclasses.dataclass(slots=True)
class Duties:
    """``tables`` holds counts by (host, boot), this host's among them.

    ``told_leader`` is (host, fence) of the holder that this host tells
    its counts, since ``told_leader_at``. ``calls`` are those of the
    holder, by subject.
    """

    candidate: leadership.Candidate
    begun_at: float
    leader: Leader = Leader()
    # When nobody was found to hold the lease.
    free_at: float | None = None
    releasing: bool = False
    offsets: dict = dataclasses.field(default_factory=dict)
    table: dict = dataclasses.field(default_factory=dict)
    tables: dict = dataclasses.field(default_factory=dict)
    # By window: when this host last counted in it.
    counted_at: dict = dataclasses.field(default_factory=dict)
    told_leader: tuple = ()
    told_leader_at: float = 0.0
    book: books.Book = dataclasses.field(default_factory=books.Book)
    # What the lease's object holds for certain, as written and as read.
    kept_record: dict | None = None
    kept: books.Book = dataclasses.field(default_factory=books.Book)
    calls: dict = dataclasses.field(default_factory=dict)
    # By service.
    demands: dict[str, demand.Demand] = dataclasses.field(
        default_factory=dict)


def new_duties(cfg, rng, now):
    """Return the duties of a host that has just begun.

    ``cfg`` is a :class:`leadership.Config`. An earlier life of the host
    may have acted until now, so that it rests as after a loss.
    """
    return Duties(leadership.Candidate(
        cfg=cfg, rng=rng, rests_until=now + cfg.rest_s), now)
