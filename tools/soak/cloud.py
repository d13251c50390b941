"""A stub of the cloud API that duties call, and checks of those calls."""

import dataclasses
import json

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["Arrival", "Cloud", "faults_of_one"]

HOLDER = b"x-crocuskeel-duty-holder"
FENCE = b"x-crocuskeel-fence-token"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A received duty call.

    Only one holder at a time may make calls for a ``subject``; ``window``
    and ``counts`` are those of a usage report, else None.
    """

    at: float
    host: str
    fence: int
    subject: tuple
    window: int | None = None
    counts: tuple | None = None


class Cloud:
    """Accepts each call without checks and records it.

    While ``down`` is set, calls get no response and are not recorded.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.arrivals = []
        self.down = False
        self.listener = callers.new_listener(reactor, self)

    def limits(self):
        """Return the limits on the requests of hosts."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """Ignore a closed connection."""

    def request_rejected(self, status, why):
        """Ignore a malformed call."""

    def request_received(self, exchange):
        """Record and answer a call."""
        if self.down:
            return
        headers = {name.lower(): value
                   for name, value in exchange.head.headers}
        body = json.loads(exchange.body)
        common_fields = (self.reactor.seconds(), headers[HOLDER].decode(),
                         int(headers[FENCE]))
        if "Window" in body:
            self.arrivals.append(Arrival(
                *common_fields, ("usage",), body["Window"],
                tuple(sorted(body["Counts"].items()))))
        else:
            self.arrivals.append(Arrival(*common_fields, (
                "scale", body["Service"], body["Zone"],
                bool(body.get("Spot")))))
        exchange.answer(200, [], b"")


def faults_of_one(arrivals, lease_s):
    """Return descriptions of violations of the duties' single holder.

    These are two different counts of a window, a fencing token of two
    hosts, a token that decreases, and hosts that act in the order A, B, A
    within the duration of a lease, s.
    """
    errors = []
    counts = {}
    by_subject = {}
    for arrival in arrivals:
        if arrival.window is not None:
            first_counts = counts.setdefault(arrival.window, arrival.counts)
            if first_counts != arrival.counts:
                errors.append(f"different counts of window {arrival.window}")
        by_subject.setdefault(arrival.subject, []).append(arrival)
    for subject, rows in by_subject.items():
        errors += (_check_fences(subject, rows)
                   + _check_alternation(subject, rows, lease_s))
    return errors


def _check_fences(subject, rows):
    errors = []
    owners = {}
    highest = 0
    for row in rows:
        if owners.setdefault(row.fence, row.host) != row.host:
            errors.append(f"{subject}: two hosts with token {row.fence}")
        if row.fence < highest:
            errors.append(f"{subject}: token {row.fence} after {highest}")
        highest = max(highest, row.fence)
    return errors


def _check_alternation(subject, rows, lease_s):
    errors = []
    for index, row in enumerate(rows):
        other_acted = False
        for later in rows[index + 1:]:
            if later.at - row.at >= lease_s:
                break
            if later.host != row.host:
                other_acted = True
            elif other_acted:
                errors.append(f"{subject}: {row.host} again at {later.at}")
                break
    return errors
