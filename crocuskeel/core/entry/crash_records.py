"""What a host knows of crashes of servers and of lost attempts."""

import collections
import dataclasses
import enum
import math

from crocuskeel.core import crash_causes

__all__ = ["ClosedStream", "Crash", "CrashRecords", "HARD_SIGNS", "Kind",
           "Loss", "QueuedReport", "Report", "Sign"]


class Sign(enum.StrEnum):
    """How a host learned that a server was down."""

    # It accepted no connection.
    UNREACHABLE = "unreached"
    # Its host refused a connection, to this host or to another one.
    REFUSED = "refused"
    # Its entry is gone, though it did not drain.
    REMOVED = "removed"
    # Its entry names another start.
    RESTARTED = "restarted"
    # Another server responds at its address, or registered with it.
    REPLACED = "replaced"


# With these the process is gone, and any loss there was due to that.
HARD_SIGNS = frozenset((Sign.REFUSED, Sign.RESTARTED, Sign.REPLACED))


class Kind(enum.StrEnum):
    """Kinds of reports to other hosts."""

    LOST = "lost"
    # The same, given up as its server was silent; sent by former versions.
    SILENT = "silent"
    CRASHED = "crashed"
    ALIVE = "alive"
    SERVED = "served"
    # A host is about to run a request that may crash servers, or runs it.
    TRIAL = "trial"
    # The prompt parts of a request that was lost.
    PARTS = "parts"
    # Prompts with parts were answered.
    SOUND = "sound"


@dataclasses.dataclass(slots=True)
class Loss:
    """An attempt that was lost at ``at``, of this host or of another one.

    ``silent``: it was given up as its server was silent; no connection
    ended. ``doubtful``: the server completed a response since then to a
    request that it had begun before.
    """

    at: float
    sid: str
    incarnation: str
    digest: str
    silent: bool = False
    doubtful: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedStream:
    """A response that ended at ``at`` with its connection.

    It is whole if its server goes on. ``parts`` are those of its prompt if
    they prove sound then, as of ``begun_at``; ``lost_parts`` if it turns out
    to have been lost.
    """

    at: float
    digest: str
    parts: tuple
    begun_at: float
    lost_parts: tuple


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash: ``lost`` maps the digests in progress to when they were lost.

    ``sign`` is the first one by which it was known.
    """

    sign: Sign
    lost: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A fact for other hosts, as of ``at``.

    Fields that a kind does not use are empty. ``span_s`` is how long before
    ``at`` an ALIVE server is known to have been running, infinite if it gets
    another id with each start. ``sid`` of a TRIAL is the host's name, and
    ``digest`` may be the key of a part. ``parts`` are keys of prompt parts: of
    a lost request, which other hosts get as PARTS, and of SOUND.
    """

    kind: Kind
    at: float
    digest: str = ""
    sid: str = ""
    incarnation: str = ""
    sign: Sign | None = None
    span_s: float = 0.0
    parts: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedReport:
    """A report of this host, or of another one, to repeat until ``until``."""

    until: float
    report: Report
    is_own: bool = True


@dataclasses.dataclass(slots=True)
class CrashRecords:
    """``crashes`` and ``ended`` are by incarnation of a server.

    ``ended`` holds the (hard sign, time) of a process that is gone.
    ``refuted`` maps (incarnation, digest) to the time of the latest loss that
    turned out to be due to no crash, ``served`` a digest to the time of the
    latest whole response. ``causes`` is None when it has to be computed anew.
    ``reports`` holds the QueuedReports, ``unsent`` own ones not yet sent to
    any host; ``told`` when others were last told that a digest was served.
    ``trials`` maps a digest, or the key of a part, to trials.Claim by host.

    ``parts`` maps the digest of a lost request to the keys of its prompt's
    parts that may have caused a crash, ``candidates`` is the union of these,
    and ``parts_lost_at`` the time of the latest such loss. ``sound`` maps the
    key of a part to the latest time at which a server began to answer a
    prompt with it that was answered well. ``closed`` holds the ClosedStreams
    of an incarnation that has shown no sign of life since.
    """

    losses: list = dataclasses.field(default_factory=list)
    crashes: dict = dataclasses.field(default_factory=dict)
    ended: dict = dataclasses.field(default_factory=dict)
    refuted: dict = dataclasses.field(default_factory=dict)
    served: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    causes: crash_causes.Causes | None = crash_causes.NO_CAUSES
    reports: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=512))
    unsent: list = dataclasses.field(default_factory=list)
    told: dict = dataclasses.field(default_factory=dict)
    trials: dict = dataclasses.field(default_factory=dict)
    parts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    candidates: set = dataclasses.field(default_factory=set)
    parts_lost_at: float = -math.inf
    sound: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    closed: dict = dataclasses.field(default_factory=dict)
