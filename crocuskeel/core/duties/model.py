"""What the holder of the duties sends to the platform."""

import dataclasses
import enum

__all__ = ["Order", "Outcome", "REPORTS", "Report", "Usage"]


class Outcome(enum.Enum):
    """How a call of a duty ended.

    UNAVAILABLE: none of the engines asked for can be had now. FAILED:
    the platform may have taken it; it is sent again.
    """

    DONE = "done"
    UNAVAILABLE = "unavailable"
    FAILED = "failed"


# The subject of all reports of usage.
REPORTS = ("usage",)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Requests begun in a window, as (workspace, count) by name.

    Window k begins k times the window's length after the start of 1970.
    """

    window: int
    counts: tuple

    @property
    def subject(self):
        """Name what one holder at a time may speak of."""
        return REPORTS


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Have so many engines of a kind in a failure domain.

    ``spot``: cheaper ones, which the platform may take back at short
    notice. The number is absolute, so that a repeat changes nothing.
    """

    service: str
    domain: str
    spot: bool
    count: int

    @property
    def subject(self):
        """Name what one holder at a time may speak of."""
        return ("scale", self.service, self.domain, self.spot)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one life of a host counted.

    ``rows`` holds (window, ((workspace, count), ...)); counts only grow.
    """

    name: str
    boot: int
    rows: tuple
