"""Token bucket: bounds calls a second of this host, or writes a slot."""

import dataclasses

__all__ = ["Budget", "new_budget"]


@dataclasses.dataclass(slots=True)
class Budget:
    """A bucket of ``burst`` tokens that refills at ``rate`` a second."""

    rate: float
    burst: float
    tokens: float
    at: float

    def _refill(self, now):
        self.tokens = min(
            self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now

    def take(self, now):
        """Take a token if there is one; say whether there was."""
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
        """Empty the bucket, so that calls start again at ``rate``."""
        self.tokens = 0.0
        self.at = now


def new_budget(rate, burst, now):
    """Return a full bucket; ``rate`` a second, ``burst`` tokens."""
    return Budget(rate=rate, burst=burst, tokens=burst, at=now)
