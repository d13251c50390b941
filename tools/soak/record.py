"""What happened in a run: requests, runs at servers, faults, changes."""

import dataclasses

__all__ = ["Record", "Seen", "new_record"]

# After a fault ends its traces may last: hosts are out of a list after
# 1.3 s, and a connection that was silent shows it after some seconds.
SETTLES_S = 4.0


@dataclasses.dataclass
class Seen:
    """A request and what came of it."""

    asked: object
    ip: str
    boot: int
    at: float
    # Versions of the configuration written and settled when it was sent.
    version: int
    settled: int
    ended_at: float = 0.0
    reply: object = None
    # The version written when it ended, if another one was by then.
    ended_version: int = 0

    def is_kept(self, version):
        """Say whether all versions while it ran have a version's route."""
        return version >= max(self.version, self.ended_version) - 1


@dataclasses.dataclass
class Record:
    """All that the checks go by. Times are the run's, s.

    ``runs`` maps a request id to the servers that ran it; ``arrivals``
    holds (request id, server, time). ``spoiled`` holds ids of requests
    that a server broke, ``crashes`` (body, time), ``working`` (request
    id, server). ``faults`` holds (start, end, where, name), ``left`` maps
    a server to when it left, ``ended`` to when its process ended, ``seen``
    a request id to its Seen. ``reached`` is like ``arrivals``, with those
    that did not run. ``limits`` maps a server to (since, until, requests
    a second) of the rate that it named, ``told`` (server, host) to when
    it told that host first, ``told_leaving`` to when it told it that it
    leaves. ``rests`` holds (server, host, time, s) of rest asked for,
    ``restarted`` when a server last started again under its id.
    """

    runs: dict = dataclasses.field(default_factory=dict)
    arrivals: list = dataclasses.field(default_factory=list)
    spoiled: set = dataclasses.field(default_factory=set)
    crashes: list = dataclasses.field(default_factory=list)
    working: set = dataclasses.field(default_factory=set)
    faults: list = dataclasses.field(default_factory=list)
    left: dict = dataclasses.field(default_factory=dict)
    ended: dict = dataclasses.field(default_factory=dict)
    seen: dict = dataclasses.field(default_factory=dict)
    reached: list = dataclasses.field(default_factory=list)
    limits: dict = dataclasses.field(default_factory=dict)
    told: dict = dataclasses.field(default_factory=dict)
    told_leaving: dict = dataclasses.field(default_factory=dict)
    rests: list = dataclasses.field(default_factory=list)
    restarted: dict = dataclasses.field(default_factory=dict)

    def fault(self, where, name, now, span_s=0.0):
        """Note a fault."""
        self.faults.append((now, now + span_s, where, name))

    def is_calm(self, since, until, *where):
        """Say whether nothing disturbed the places between two times."""
        return not any(
            start <= until and end + SETTLES_S >= since
            for start, end, place, _ in self.faults
            if place in where or place == "all")


def new_record():
    """Return the record of a run that has not begun."""
    return Record()
