"""Token bucket that limits the rate of calls or writes."""

import dataclasses

__all__ = ["TokenBucket", "new_token_bucket"]


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A bucket of ``burst`` tokens, refilled at ``rate`` a second."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def _refill(self, now):
        self.tokens = min(
            self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def take(self, now):
        """Take a token if one is available; return whether one was."""
        self._refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now):
        """Return the seconds until the next token."""
        self._refill(now)
        return max(0.0, (1.0 - self.tokens) / self.rate)

    def drain(self, now):
        """Empty the bucket, so that calls resume at ``rate``."""
        self.tokens = 0.0
        self.updated_at = now


def new_token_bucket(rate, burst, now):
    """Return a full bucket of ``burst`` tokens, refilled at ``rate``."""
    return TokenBucket(rate=rate, burst=burst, tokens=burst, updated_at=now)
