"""What hosts and the store hold of crashes that hosts have confirmed."""

import dataclasses
import math

from crocuskeel.core import crash_causes

__all__ = ["CrashLog", "MAX_ROWS", "StoredCrash"]

# Limit of crashes in the store; each takes up to 200 bytes there, or some more
# with long ids of servers or several parts.
MAX_ROWS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class StoredCrash:
    """A request lost in a server's crash, at ``wall_at`` s since 1970.

    ``sign`` is the text of a crash_records.Sign. ``parts`` are the keys of
    those parts of its prompt that may have caused the crash, if that is known
    of any.
    """

    digest: str
    incarnation: str
    sign: str
    wall_at: float
    parts: tuple = ()

    @property
    def key(self):
        """Tells it from other requests and other crashes."""
        return self.incarnation, self.digest, self.parts


@dataclasses.dataclass(slots=True)
class CrashLog:
    """What a host knows of the crashes in the store.

    ``stored`` holds the StoredCrash rows by key, as read or written last, at
    ``revision`` (core.revisions), which is None before that. ``settled`` are
    the crash_causes.Causes for which nothing is left to write. ``writing``
    holds the rows of a write that has not ended. A host that is not the first
    one writes at ``due_at`` what is missing, and reads before that, which
    ``is_checked`` says. ``wall_offset`` is its wall clock's lead over the
    runtime's clock, s, None before the first tick.
    """

    stored: dict = dataclasses.field(default_factory=dict)
    revision: int | None = None
    settled: crash_causes.Causes | None = None
    writing: dict | None = None
    due_at: float = math.inf
    is_checked: bool = False
    wall_offset: float | None = None
    is_reading: bool = False
    next_read_at: float = -math.inf
    is_exact: bool = False
    reads: int = 0
    failures: int = 0
    write_failures: int = 0
    looked_at: float = -math.inf
    written_at: float = -math.inf
