"""What hosts and the store know of where streams began."""

import collections
import dataclasses
import math

from crocuskeel.core.entry import model

__all__ = ["KEY_BYTES", "Lookup", "Record", "Segment", "SegmentLog",
           "SegmentWrite", "StreamRecords", "VersionHistory", "VersionRecord"]

# Size of a stream's key in a segment.
KEY_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """The versions at which streams of a service may have begun.

    One object of the store a service. A version is added before streams begin
    at it, and removed once all its streams have ended, which takes ``life_s``
    at most after its last server has left. ``is_complete``: no other version
    may have served; it is false if the store was restored from a copy since
    the record was written. ``revision`` is the object's (core.revisions), with
    the number 0 if there is none. ``default`` is the version of all streams
    that are in no segment, None if that is not known.
    """

    service: str
    versions: tuple
    life_s: float
    is_complete: bool
    revision: int = 0
    default: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Origins of streams, as one object of the store.

    ``rows`` holds (service, version, keys); ``keys`` are bytes, KEY_BYTES for
    each stream. ``revision`` is that of the object as it was read.
    """

    name: str
    rows: tuple
    revision: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Where a stream began; its caller does not come back after ``until``.

    ``is_own``: this host has forwarded events of it.
    """

    origin: model.Origin
    until: float
    is_own: bool


@dataclasses.dataclass(slots=True)
class Lookup:
    """A search for a stream's origin at other hosts.

    ``unanswered`` holds the names of the hosts that were asked and have not
    answered, ``asked`` how many were. ``versions`` are those of the service
    that the answers name. They are asked again at ``next_at`` and no longer
    waited for at ``ends_at``. It began at ``began_at``. ``readers`` are those
    that read the store first and are waited for longer.
    """

    asked: int
    unanswered: set
    next_at: float
    ends_at: float
    began_at: float
    readers: frozenset = frozenset()
    versions: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class VersionHistory:
    """What a host knows of the VersionRecords of the store.

    ``services`` are those that need a record. ``records`` holds them as read
    or written last, ``writing`` those whose write has not ended. ``is_read``:
    they were read since this host last missed changes of the list of servers;
    ``complete`` holds the services whose record said then that no other
    versions served, ``is_new``: no host had written any record.
    From ``lived_at`` on this host knows all versions by itself: it has been
    told, or has seen the list for as long as a stream may last.

    By service: ``noticed`` holds versions that serve without a record,
    ``waiting`` until when no streams begin at such a version, and ``due_at``
    when this host writes what another one has not written. ``checked`` holds
    the services whose records it reads before it does so, ``doubted`` those
    whose default version may have been replaced since it was read,
    ``outdated`` those of them with a version that may have been removed.
    ``steady`` holds the versions that have served ever since the latest read
    began. ``told`` holds records that other hosts know, or that were read
    before changes of the list were missed; others are asked at
    ``next_ask_at``. Changes may have been missed from ``missed_since`` on.
    """

    services: frozenset = frozenset()
    records: dict = dataclasses.field(default_factory=dict)
    writing: dict = dataclasses.field(default_factory=dict)
    noticed: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    due_at: dict = dataclasses.field(default_factory=dict)
    checked: set = dataclasses.field(default_factory=set)
    complete: set = dataclasses.field(default_factory=set)
    doubted: set = dataclasses.field(default_factory=set)
    steady: dict = dataclasses.field(default_factory=dict)
    outdated: set = dataclasses.field(default_factory=set)
    told: dict = dataclasses.field(default_factory=dict)
    is_new: bool = False
    is_read: bool = False
    is_reading: bool = False
    read_again: bool = False
    next_read_at: float = math.inf
    read_began_at: float = -math.inf
    next_ask_at: float = -math.inf
    missed_since: float | None = None
    failures: int = 0
    write_failures: int = 0
    lived_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentWrite:
    """A write that has not ended: the streams that it adds, since when."""

    rows: dict
    began_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ToldStream:
    """A stream that another host is to write, told first at ``told_at``.

    It is told again at ``next_at``, unless it has ended by ``ends_at``.
    """

    origin: model.Origin
    told_at: float
    next_at: float
    ends_at: float


@dataclasses.dataclass(slots=True)
class SegmentLog:
    """The streams that a host writes to the store, and those it has read.

    ``unwritten`` maps keys to Origins, ``ends_at`` to when their streams have
    ended, and ``writing`` names of segments to SegmentWrites; ``written``
    holds the streams that the open segment ``name`` is known to have at
    ``revision``. ``closed`` maps names of this host's segments to when they
    may be deleted, ``ended`` those of segments of which no stream need be
    found to their revisions. ``is_failing``: the latest write has failed, and
    no other host has written any for this one since ``helped_at``.
    ``taken_at``: when the store took a write last, of this host or for it.

    ``awaiting`` maps the keys of streams to the requests whose first event
    waits for their write, ``confirmed`` holds those that need not wait any
    more. ``told`` maps keys to ToldStreams, which another host is
    to write, ``senders`` to the names of hosts for which this one does.

    ``segments`` are those that were read last, ``defaults`` the complete
    VersionRecords by service, as of then. ``is_limited``: the store took no
    more calls when they were to be read last. ``sought`` maps the keys of
    streams that were sought to since when, ``asked`` those that other hosts
    asked for; ``questions`` of these, each with its time, wait for the next
    read.
    ``must_clean``: the store may hold segments of hosts that were killed,
    which the first host looks for at ``clean_at``; ``seen`` maps the names of
    those that it found then to since when.
    """

    unwritten: dict = dataclasses.field(default_factory=dict)
    ends_at: dict = dataclasses.field(default_factory=dict)
    writing: dict = dataclasses.field(default_factory=dict)
    written: dict = dataclasses.field(default_factory=dict)
    is_failing: bool = False
    helped_at: float = -math.inf
    taken_at: float = -math.inf
    write_failures: int = 0
    awaiting: dict = dataclasses.field(default_factory=dict)
    confirmed: list = dataclasses.field(default_factory=list)
    told: dict = dataclasses.field(default_factory=dict)
    senders: dict = dataclasses.field(default_factory=dict)
    defaults: dict = dataclasses.field(default_factory=dict)
    name: str | None = None
    number: int = 0
    revision: int = 0
    opened_at: float = -math.inf
    next_write_at: float = -math.inf
    is_scheduled: bool = False
    closed: dict = dataclasses.field(default_factory=dict)
    ended: dict = dataclasses.field(default_factory=dict)
    life_s: float = 0.0
    segments: tuple = ()
    sought: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)
    read_began_at: float = -math.inf
    read_failures: int = 0
    is_limited: bool = False
    read_at: float = -math.inf
    read_took_s: float = 0.0
    is_reading: bool = False
    is_cleaning: bool = False
    clean_at: float = -math.inf
    seen: dict = dataclasses.field(default_factory=dict)
    is_settled: bool | None = None
    questions: list = dataclasses.field(default_factory=list)
    must_clean: bool = True


@dataclasses.dataclass(slots=True)
class StreamRecords:
    """``origins`` maps a stream's key to its Record, oldest first.

    ``current`` maps a service to the versions of its servers, ``former`` to
    those without a server, each with the time when the last of its streams
    has ended, and ``recorded`` likewise to those that only the store's
    records name. ``longest_limit_s`` is the longest time limit of a caller's
    stream so far, s.
    """

    origins: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    current: dict = dataclasses.field(default_factory=dict)
    former: dict = dataclasses.field(default_factory=dict)
    recorded: dict = dataclasses.field(default_factory=dict)
    longest_limit_s: float = 0.0
    history: VersionHistory = dataclasses.field(
        default_factory=VersionHistory)
    log: SegmentLog = dataclasses.field(default_factory=SegmentLog)
