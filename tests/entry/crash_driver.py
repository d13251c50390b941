"""Helpers for tests of crashes: a host, its servers, and signs of crashes."""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import quarantine
from tests.entry import support

__all__ = ["CrashDriver", "SIGNS", "UNSAFE", "refused"]

UNSAFE = support.route(kind=model.Kind.UNSAFE, max_servers=2)


class CrashDriver(support.Driver):
    """A host with several servers, and requests by digest at them."""

    def __init__(self, *routes, count=6, name="me", **kwargs):
        servers = [support.server(f"s{number}", **kwargs)
                   for number in range(count)]
        super().__init__(
            *(routes or (UNSAFE,)), servers=servers, name=name)
        self.last_key = 0
        self.revision = 10

    def feed(self, event, after=0.0):
        """Feed an event; attempts that fail are due to their servers."""
        self.host.reach.clear()
        return super().feed(event, after)

    def send(self, digest, sid=None):
        """Send a request, to ``sid`` if given; return its key or None."""
        self.last_key += 1
        out = self.arrive(self.last_key, digest=digest)
        if not support.effects_of(out, effects.SendRequest):
            return None
        if sid is not None:
            self.move(self.last_key, sid)
        return self.last_key

    def move(self, key, sid):
        """Have a request that was sent be at another server."""
        (attempt,) = self.host.pending[key].attempts
        row = self.host.servers[attempt.sid].own_attempts.pop((key, 0))
        attempt.sid = sid
        attempt.incarnation = self.host.servers[sid].server.incarnation
        self.host.servers[sid].own_attempts[key, 0] = row

    def fail(self, key, outcome=model.Outcome.DISCONNECTED, after=0.0):
        """Fail the attempt of a request; return the effects."""
        return self.feed(events.AttemptFailed(
            key, 0, outcome, "", outcome in (
                model.Outcome.DISCONNECTED, model.Outcome.MALFORMED)), after)

    def answer(self, key, status=200, after=0.0):
        """Answer a request with its head and its whole body."""
        self.feed(events.HintsReceived(key, 0, model.Hints()), after)
        return self.feed(events.ResponseReceived(key, 0, status, None, True))

    def lose(self, digest, sid, after=0.0):
        """Send a request to a server that ends its connection."""
        return self.fail(self.send(digest, sid), after=after)

    def crash(self, sid, *digests):
        """Crash a server with requests; its connections are refused then."""
        keys = [self.send(digest, sid) for digest in digests]
        probe = self.send("probe", "s0" if sid != "s0" else "s1")
        for key in keys:
            self.fail(key)
        self.move(probe, sid)
        self.fail(probe, model.Outcome.REFUSED, 0.1)
        self.feed(events.CallerDisconnected(probe))
        self.remove(sid)

    def remove(self, sid, after=0.0):
        """Remove the entry of a server."""
        self.revision += 1
        return self.feed(
            events.ServersChanged((), (sid,), self.revision), after)

    def register(self, *servers, after=0.0):
        """Register servers."""
        self.revision += 1
        return self.feed(
            events.ServersChanged(servers, (), self.revision), after)

    def is_quarantined(self, digest):
        """Return whether a request is quarantined."""
        return self.quarantine_s(digest) > 0

    def quarantine_s(self, digest):
        """Return the time left of a request's quarantine, s."""
        return quarantine.time_left_s(
            self.host, support.full_digest(digest), self.now)

    def state(self):
        """Return the state that this host sends."""
        (state, *_) = [effect.event for effect in support.effects_of(
            self.feed(events.Ticked(0.0)), effects.SendToPeer)]
        return state


def refused(fleet, sid):
    """Send a request to a server that refuses the connection."""
    _probe(fleet, sid, model.Outcome.REFUSED)


def _misdirected(fleet, sid):
    _probe(fleet, sid, model.Outcome.MISDIRECTED)


def _probe(fleet, sid, outcome):
    key = fleet.send("probe", sid)
    fleet.fail(key, outcome)
    fleet.feed(events.CallerDisconnected(key))


def _registered_at_its_address(fleet, sid):
    fleet.register(support.server(
        f"{sid}-new", address=fleet.host.servers[sid].server.address))


def _restarted(fleet, sid):
    fleet.register(support.server(sid, started_ms=9_000))


SIGNS = {
    "its connection is refused": refused,
    "another server answers at its address": _misdirected,
    "another server registers with its address": _registered_at_its_address,
    "its entry names another start": _restarted,
    "its entry is removed": lambda fleet, sid: fleet.remove(sid),
    "another host was refused a connection": lambda fleet, sid: fleet.feed(
        events.PeerLoadsReceived("host-1", (), (sid,))),
}
