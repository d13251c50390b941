"""Token bucket that limits loads from the weight store, all engines."""

import dataclasses

__all__ = ["Bucket", "drain", "new_bucket", "take_token"]


@dataclasses.dataclass(slots=True)
class Bucket:
    """A bucket of up to ``burst`` tokens, refilled at ``rate`` a second."""

    rate: float
    burst: float
    tokens: float
    updated_at: float


def new_bucket(rate, burst, now):
    """Return an empty bucket."""
    return Bucket(rate, burst, 0.0, now)


def drain(bucket, now):
    """Empty the bucket.

    The previous lease holder may just have spent its whole burst. If the
    new holder started with a full bucket, twice the burst could reach
    the weight store; starting empty keeps both within the limit.
    """
    bucket.tokens = 0.0
    bucket.updated_at = now


def take_token(bucket, now):
    """Take a token if one is available; return whether one was."""
    refilled = bucket.tokens + (now - bucket.updated_at) * bucket.rate
    bucket.tokens = min(bucket.burst, refilled)
    bucket.updated_at = now
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
