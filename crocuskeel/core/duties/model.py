"""Calls that the holder of the duties makes to the platform."""

import dataclasses
import enum

__all__ = ["Order", "Outcome", "REPORTS", "Report", "Usage"]


class Outcome(enum.Enum):
    """How a duty's call ended.

    UNAVAILABLE: none of the ordered engines are available now. FAILED:
    the platform may have accepted the call; it is retried.
    """

    DONE = "done"
    UNAVAILABLE = "unavailable"
    FAILED = "failed"


# The subject of all usage reports.
REPORTS = ("usage",)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Requests begun in a window, as (workspace, count) sorted by name.

    Window k begins k times the window's length after the start of 1970.
    """

    window: int
    counts: tuple

    @property
    def subject(self):
        """The subject of the call, on which only one holder may act."""
        return REPORTS


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to have ``count`` engines of a kind in a failure domain.

    ``spot``: cheaper engines, which the platform may reclaim at short
    notice. The number is absolute, so a repeated order has no effect.
    """

    service: str
    domain: str
    spot: bool
    count: int

    @property
    def subject(self):
        """The subject of the call, on which only one holder may act."""
        return ("scale", self.service, self.domain, self.spot)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """The counts of one incarnation of a host.

    ``rows`` holds (window, ((workspace, count), ...)); counts only grow.
    """

    name: str
    boot: int
    rows: tuple
