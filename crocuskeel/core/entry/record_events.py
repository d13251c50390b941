"""Results of reading and writing records in the store."""

import dataclasses

__all__ = ["CrashesRead", "CrashesWritten", "RecordsAsked", "RecordsTold",
           "SegmentDue", "SegmentWritten",
           "SegmentsRead", "StreamsToRecord", "VersionsRead",
           "VersionsWritten"]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsRead:
    """The VersionRecords of all services, None if they could not be read.

    ``former_hosts``: hosts are registered whose program writes no such
    records, so that a service without one may have had several versions.
    """

    records: tuple | None
    former_hosts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsWritten:
    """The write of a service's record ended.

    ``revision`` is the object's new one, None if the write failed, may still
    take effect, or met an object of another revision.
    """

    service: str
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentsRead:
    """All Segments of the store, and the VersionRecords as of later.

    Both are None if they could not be read. ``is_limited``: the store took no
    more calls at that time, and may take the next one.
    """

    segments: tuple | None
    records: tuple | None = None
    is_limited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentWritten:
    """The write of a segment ended; ``revision`` is the object's new one.

    It is None if the write failed, may still take effect, or met an object of
    another revision. ``is_limited``: the store took no more calls,
    ``is_lost``: the object isn't there as it was written last.
    """

    name: str
    revision: int | None
    is_limited: bool = False
    is_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentDue:
    """It is time to write the segment of streams that began since."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsToRecord:
    """Host ``name`` wants streams written, and gets OriginsTold after that.

    ``rows`` is as in OriginsTold.
    """

    name: str
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsAsked:
    """Host ``name`` can't read the VersionRecords, and gets RecordsTold."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsTold:
    """Host ``name`` knows complete VersionRecords, as of its list of servers.

    ``rows`` holds (service, versions, life in s, revision, default version).
    """

    name: str
    servers_revision: int
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesRead:
    """The StoredCrash rows of the store, at a revision (core.revisions).

    Both are None if they could not be read. Rows that could not be decoded
    are left out.
    """

    crashes: tuple | None
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesWritten:
    """The write of crashes ended; ``revision`` is the object's new one.

    It is None if the write failed, may still take effect, or met an object of
    another revision.
    """

    revision: int | None
