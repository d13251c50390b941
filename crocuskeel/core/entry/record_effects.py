"""Effects that read and write records in the store.

The runtime carries out each one once: the core decides whether and when one
that failed is repeated.
"""

import dataclasses

from crocuskeel.core.entry import stream_records

__all__ = ["DeleteSegments", "ReadCrashes", "ReadSegments", "ReadVersions",
           "ScheduleSegment", "WriteCrashes", "WriteSegment",
           "WriteVersions"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadVersions:
    """Read the VersionRecords of all services; deliver VersionsRead."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteVersions:
    """Write a VersionRecord; deliver VersionsWritten.

    It replaces the object of the record's revision and no other one.
    """

    record: stream_records.VersionRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSegments:
    """Read all segments; deliver SegmentsRead."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSegment:
    """Create or replace a segment; deliver SegmentWritten.

    It replaces the object of ``revision`` (core.revisions), and none if that
    is 0. No other host writes a segment of its name.
    """

    segment: stream_records.Segment
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteSegments:
    """Delete segments, if they exist.

    ``segments`` holds the (name, revision) of each: one with another revision
    stays, unless 0 is asked for.
    """

    segments: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleSegment:
    """Deliver SegmentDue at this time."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCrashes:
    """Read the crashes; deliver CrashesRead.

    Unless ``is_exact``, they may be as of some seconds ago.
    """

    is_exact: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCrashes:
    """Replace all crashes by these StoredCrash rows; deliver CrashesWritten.

    That is done if they are of this revision (core.revisions) still.
    """

    crashes: tuple
    revision: int
