"""Where an arriving request goes, or why it can't go anywhere."""

import dataclasses

from crocuskeel.core.entry import ending
from crocuskeel.core.entry import routing
from result import Err
from result import Ok

__all__ = ["Refused", "find_destination"]

STARTING_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The final response to a request, and its log lines.

    ``retry_delay_s`` is as for effects.Answer.
    """

    status: int
    reason: str
    retry_delay_s: float | None = None
    lines: tuple = ()


def find_destination(host, request, now):
    """Return Ok(routing.Destination) or Err(Refused)."""
    if host.catalog is None or not host.servers_loaded:
        return Err(Refused(
            ending.UNAVAILABLE, "starting",
            ending.limit_retry_delay(STARTING_RETRY_S, request.deadline_s)))
    resolved = routing.resolve(host.catalog, request)
    if resolved.is_ok():
        return Ok(resolved.unwrap())
    refusal = resolved.unwrap_err()
    line = ending.log_line(
        "refused", request, status=refusal.status, why=refusal.reason,
        version=host.catalog.version,
        version_age_s=round(now - host.catalog_applied_at, 3))
    return Err(Refused(refusal.status, refusal.reason, lines=(line,)))
