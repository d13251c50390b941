"""A stand-in of where duties are reported, and what it finds wrong."""

import dataclasses
import json

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["Arrival", "Cloud", "faults_of_one"]

HOLDER = b"x-crocuskeel-duty-holder"
FENCE = b"x-crocuskeel-fence-token"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A duty's call as it arrived.

    ``subject`` is what one holder at a time may speak of; ``window`` and
    ``counts`` are those of a report, else None.
    """

    at: float
    host: str
    fence: int
    subject: tuple
    window: int | None = None
    counts: tuple | None = None


class Cloud:
    """Takes each call, checks nothing, keeps what arrived.

    ``down`` makes it answer nothing.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.arrivals = []
        self.down = False
        self.listener = callers.new_listener(reactor, self)

    def limits(self):
        """Return the limits on what hosts send."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """A host's connection is gone."""

    def request_rejected(self, status, why):
        """A call could not be read."""

    def request_received(self, exchange):
        """Keep a call; answer it."""
        if self.down:
            return
        headers = {name.lower(): value
                   for name, value in exchange.head.headers}
        body = json.loads(exchange.body)
        common = (self.reactor.seconds(), headers[HOLDER].decode(),
                  int(headers[FENCE]))
        if "Window" in body:
            self.arrivals.append(Arrival(
                *common, ("usage",), body["Window"],
                tuple(sorted(body["Counts"].items()))))
        else:
            self.arrivals.append(Arrival(*common, (
                "scale", body["Service"], body["Zone"],
                bool(body.get("Spot")))))
        exchange.answer(200, [], b"")


def faults_of_one(arrivals, lease_s):
    """Return what is wrong with who acted for the duties, as texts.

    A window with two counts; a number of two hosts; a number that goes
    back; hosts that act in the order A, B, A within a lease's span, s.
    """
    found = []
    counts = {}
    by_subject = {}
    for each in arrivals:
        if each.window is not None:
            known = counts.setdefault(each.window, each.counts)
            if known != each.counts:
                found.append(f"two counts of window {each.window}")
        by_subject.setdefault(each.subject, []).append(each)
    for subject, rows in by_subject.items():
        found += _numbers(subject, rows) + _turns(subject, rows, lease_s)
    return found


def _numbers(subject, rows):
    found = []
    owners = {}
    highest = 0
    for row in rows:
        if owners.setdefault(row.fence, row.host) != row.host:
            found.append(f"{subject}: two hosts with {row.fence}")
        if row.fence < highest:
            found.append(f"{subject}: {row.fence} after {highest}")
        highest = max(highest, row.fence)
    return found


def _turns(subject, rows, lease_s):
    found = []
    for place, row in enumerate(rows):
        others = False
        for later in rows[place + 1:]:
            if later.at - row.at >= lease_s:
                break
            if later.host != row.host:
                others = True
            elif others:
                found.append(f"{subject}: {row.host} again at {later.at}")
                break
    return found
