"""The record of a run: requests, their runs at servers, and faults."""

import dataclasses

__all__ = ["AFTEREFFECT_S", "Record", "SentRequest", "new_record"]

# How long the effects of a fault last after its end, s: hosts drop out of
# a list after 1.3 s, and a silent connection is detected only after some
# seconds.
AFTEREFFECT_S = 4.0


@dataclasses.dataclass
class SentRequest:
    """A request that was sent, and its outcome."""

    request: object
    ip: str
    boot: int
    at: float
    # Versions of the configuration at its sending: the last one written, and
    # the last one that must be in force.
    version: int
    settled: int
    ended_at: float = 0.0
    reply: object = None
    # The last version written when it ended; 0 while it runs.
    ended_version: int = 0
    # How many servers of the version that began its stream serve as the
    # caller takes it up.
    servers_of_version: int = 0

    def is_kept(self, version):
        """Return whether a version's route existed during the request."""
        return version >= max(self.version, self.ended_version) - 1


@dataclasses.dataclass
class Record:
    """The data that the checks use. Times are of the run's clock, s.

    ``runs`` maps a request id to the servers that ran it; ``arrivals``
    holds (request id, server, time) of these runs, ``reached`` the same of
    all requests that reached a server, run or not.
    ``failed_by_server`` holds the ids of requests that failed by an
    injected server fault, ``crashes`` (body, time), ``working`` (request
    id, server) of runs in progress. ``faults`` holds
    (start, end, place, name). ``departed`` maps a server to the time when
    it left, ``ended`` to when its process ended, ``restarted`` to its last
    restart under the same id. ``sent`` maps a request id to its
    SentRequest. ``limits`` maps a server to (since, until, requests a
    second) of its rate limit, ``rate_sent`` (server, host) to the time of
    the first response with it to that host, ``leaving_sent`` to that of the
    first with the leaving flag. ``backoffs`` holds (server, host, time, s)
    of the backoffs asked for. ``stops`` holds (host, since, until) of planned
    stops, until the host has started again, ``away`` the same of the kills of
    runs that rejoin. ``part_arrivals`` holds (part,
    request id, time) of prompts that reached servers and crash them by a
    part, ``part_crashes`` (part, time). ``cut_unframed`` holds the ids of
    streams without length or chunks that a crash ended between two events,
    ``cut_open`` those of requests whose answers without length or chunks an
    engine ended early. In runs with stops in series ``sigterms`` maps (host,
    boot) to the time of SIGTERM, ``kills`` holds (host, time) of hosts that
    had not ended by themselves, and ``came_again`` maps the id of a request
    that a stopping host refused to that of the next try.
    """

    runs: dict = dataclasses.field(default_factory=dict)
    arrivals: list = dataclasses.field(default_factory=list)
    failed_by_server: set = dataclasses.field(default_factory=set)
    crashes: list = dataclasses.field(default_factory=list)
    working: set = dataclasses.field(default_factory=set)
    faults: list = dataclasses.field(default_factory=list)
    departed: dict = dataclasses.field(default_factory=dict)
    ended: dict = dataclasses.field(default_factory=dict)
    sent: dict = dataclasses.field(default_factory=dict)
    reached: list = dataclasses.field(default_factory=list)
    limits: dict = dataclasses.field(default_factory=dict)
    rate_sent: dict = dataclasses.field(default_factory=dict)
    leaving_sent: dict = dataclasses.field(default_factory=dict)
    backoffs: list = dataclasses.field(default_factory=list)
    restarted: dict = dataclasses.field(default_factory=dict)
    stops: list = dataclasses.field(default_factory=list)
    away: list = dataclasses.field(default_factory=list)
    part_arrivals: list = dataclasses.field(default_factory=list)
    part_crashes: list = dataclasses.field(default_factory=list)
    cut_unframed: set = dataclasses.field(default_factory=set)
    cut_open: set = dataclasses.field(default_factory=set)
    sigterms: dict = dataclasses.field(default_factory=dict)
    kills: list = dataclasses.field(default_factory=list)
    came_again: dict = dataclasses.field(default_factory=dict)

    def add_fault(self, place, name, now, span_s=0.0):
        """Add a fault."""
        self.faults.append((now, now + span_s, place, name))

    def is_undisturbed(self, since, until, *places,
                       aftereffect_s=AFTEREFFECT_S):
        """Return whether no fault disturbed the places between two times."""
        return not any(
            start <= until and end + aftereffect_s >= since
            for start, end, place, _ in self.faults
            if place in places or place == "all")

    def faults_at(self, sent, places):
        """Return the faults of places of a request and the given ones.

        These are (place, name, seconds before the request's end).
        """
        return [(place, name, round(sent.ended_at - start, 1))
                for start, end, place, name in self.faults
                if place in (sent.ip, "engines", *places)
                and end + AFTEREFFECT_S >= sent.at]


def new_record():
    """Return an empty record."""
    return Record()
