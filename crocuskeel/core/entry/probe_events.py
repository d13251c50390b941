"""Events on servers that are asked for their health."""

import dataclasses

__all__ = ["ProbeUnanswered"]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeUnanswered:
    """No server of a service answered the probe of a time.

    This host has run all the while that the server had.
    """

    service: str
    sent_at: float
