"""Where an arriving request goes, or why it can't go anywhere."""

import dataclasses

from crocuskeel.core.entry import ending
from crocuskeel.core.entry import routing
from result import Err
from result import Ok

__all__ = ["Refused", "find_destination"]

STARTING_RETRY_S = 0.5
# A newer configuration is fetched from another host within this time, s.
BEHIND_RETRY_S = 0.7


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
    status, delay_s = refusal.status, None
    if host.catalog_behind_at is not None:
        # Another host has a newer configuration, which may allow it.
        status = ending.UNAVAILABLE
        delay_s = ending.limit_retry_delay(
            BEHIND_RETRY_S, request.deadline_s)
    line = ending.log_line(
        "refused", request, status=status, why=refusal.reason,
        version=host.catalog.version,
        version_age_s=round(now - host.catalog_applied_at, 3))
    return Err(Refused(status, refusal.reason, delay_s, (line,)))
