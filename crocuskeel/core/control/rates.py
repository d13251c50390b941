"""The weight store's rate limit over all engines: a token bucket."""

import dataclasses

__all__ = ["Bucket", "drain", "new_bucket", "take"]


@dataclasses.dataclass(slots=True)
class Bucket:
    """Holds up to ``burst`` tokens, ``rate`` more a second."""

    rate: float
    burst: float
    tokens: float
    at: float


def new_bucket(rate, burst, now):
    """Return an empty bucket."""
    return Bucket(rate, burst, 0.0, now)


def drain(bucket, now):
    """Empty the bucket.

    The holder before may have spent its whole burst a moment ago. A new
    holder that began with a full bucket would let twice the burst reach
    the weight store; from empty, both together keep the one limit.
    """
    bucket.tokens = 0.0
    bucket.at = now


def take(bucket, now):
    """Take a token if there is one; say whether there was."""
    grown = bucket.tokens + (now - bucket.at) * bucket.rate
    bucket.tokens = min(bucket.burst, grown)
    bucket.at = now
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
