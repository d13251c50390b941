"""Test driver for the entry host component: events in, effects out."""

import hashlib
import random

from crocuskeel.conf import tree as trees
from crocuskeel.core import backends
from crocuskeel.core import claims
from crocuskeel.core import dispatch
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import frontend
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import quarantine
from crocuskeel.core import state

DOMAINS = {"e1": "a", "e2": "b", "e3": "c"}
_UNLABELED = (effects.SetTimer, effects.CancelTimer, effects.Record,
              effects.Measure)


def token(workspace):
    """Return the hash of the workspace's bearer token."""
    return hashlib.sha256(workspace.encode()).hexdigest()


def _tree():
    return trees.from_document({
        "deployment": {"name": "test",
                       "failure_domains": ["a", "b", "c"]},
        "services": {
            "llm": {"kind": "engine", "models": ["m"],
                    "max_slots_per_engine": 6},
            "desk": {"kind": "plain"}},
        "defaults": {"service": "llm", "floor": 0.1},
        "classes": {
            "ramp": {"tier": 1, "late": "drop", "deadline_s": 10,
                     "retry_budget": 0.2},
            "bulk": {"tier": 3, "deadline_s": 10, "retry_budget": 0},
            "book": {"service": "desk", "tier": 1,
                     "repeatable": False, "deadline_s": 10}},
        "workspaces": {
            name: {"tokens": [
                {"caller": "desk", "sha256": token(name)}]}
            for name in ("north", "south")},
    }, 1)


def member(host, status="alive", incarnation=1, load=0.0, domain="a"):
    """Return a membership update for a host."""
    return messages.MemberUpdate(host, incarnation, status, "127.0.0.1",
                                 1, 2, domain, "r", load)


class Host:
    """Host ``h1`` of three, with a simulated clock and timers."""

    def __init__(self, max_requests=50):
        me = state.Identity("test", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        self.now = 100.0
        self.timers = {}
        self.log = []
        self.rids = 0
        self.daemon = state.Daemon(
            identity=me, limits=state.Limits(max_requests=max_requests),
            rng=random.Random(7), follower=follower.new_state(_tree()),
            membership=membership.new_state(me),
            backends=backends.new_state(),
            quarantine=quarantine.new_state(), dispatch=dispatch.new_state(),
            frontend=frontend.new_state(),
            claims=claims.new_state("h1", 1, random.Random(7)))
        self.receive_members("h2", member("h2"), member("h3"))
        self.list_servers()
        self.feed(events.Started())

    def list_servers(self, leaving=(), at=1):
        """Receive a host list of three engines and two plain servers."""
        names = [*DOMAINS, "d1", "d2"]
        servers = tuple(messages.Backend(
            name, "llm" if name in DOMAINS else "desk", f"http://{name}",
            DOMAINS.get(name, "a"), "r", "engine" if name in DOMAINS
            else "plain", name in leaving) for name in names)
        event = events.HostListSeen(at, (), servers)
        backends.handle(self.daemon, event, self.now)
        self.feed(event)

    def feed(self, event):
        """Handle one event; update the timers and the log of effects."""
        out = frontend.handle(self.daemon, event, self.now)
        self.record(out)
        return out

    def record(self, out):
        """Apply the effects on timers, and log all effects."""
        for effect in out:
            if isinstance(effect, effects.SetTimer):
                self.timers[effect.key] = self.now + effect.after_s
            elif isinstance(effect, effects.CancelTimer):
                self.timers.pop(effect.key, None)
        self.log += out

    def advance(self, seconds):
        """Advance the clock and fire the timers that expire, in order."""
        until = self.now + seconds
        while self.timers:
            key = min(self.timers, key=lambda key: (
                self.timers[key], key))
            if self.timers[key] > until:
                break
            self.now = max(self.now, self.timers.pop(key))
            self.feed(events.TimerFired(key))
        self.now = until

    def owner(self, cell):
        """Return the dispatcher of a cell."""
        return placement.owner(cell, membership.live(self.daemon))

    def receive(self, sender, message):
        """Receive a peer's message."""
        return self.feed(events.Received(sender, 1, message))

    def receive_members(self, sender, *updates, seconds_ago=0.0):
        """Update membership; the entry host sees it at its next tick."""
        membership.handle(self.daemon, events.Received(
            sender, 1, messages.ProbeAck(1, updates)), self.now - seconds_ago)

    def arrive(self, class_name="ramp", workspace="north", stream=True,
               key="", digest="d", fingerprint="f", **extra):
        """Receive a caller's request; return its rid."""
        self.rids += 1
        rid = f"h1.1.{self.rids}"
        self.feed(events.RequestArrived(
            rid, token(workspace), "POST", "/v1/chat/completions",
            class_name, "", stream, 10, 0, 0, digest, fingerprint, key,
            **extra))
        return rid

    def request(self, rid):
        """Return the request, or None if it has ended."""
        return self.daemon.frontend.requests.get(rid)

    def grant(self, rid, engine="e1", sender=""):
        """Grant the request's current attempt."""
        req = self.request(rid)
        return self.receive(sender or self.owner(req.cell), messages.Grant(
            rid, req.attempt, req.cell, engine))

    def claim(self, rid, status="granted", **extra):
        """Answer the request's claim."""
        key = claims.key_digest(*self.request(rid).scope)
        return self.receive("h2", messages.ClaimAnswer(
            rid, key, status, **extra))

    def opened(self, rid):
        """Receive the first byte of the current attempt."""
        attempt = self.request(rid).attempt
        return self.feed(events.AttemptOpened(rid, attempt, 0.1))

    def closed(self, rid, end, attempt=None, **extra):
        """End the current attempt."""
        if attempt is None:
            attempt = self.request(rid).attempt
        return self.feed(events.AttemptClosed(
            rid, attempt, events.AttemptEnd(end), **extra))

    def labels(self):
        """Return the labels of the effects so far, minor ones left out."""
        return [label(effect) for effect in self.log
                if not isinstance(effect, _UNLABELED)]


def label(effect):
    """Return a short label of one effect, for tables."""
    match effect:
        case effects.Send(message=messages.Enqueue() as ask):
            return " ".join(["enqueue", *(f"-{name}" for name in ask.avoid)])
        case effects.Send(message=messages.Released() as msg):
            return f"release {msg.engine} {msg.end}"
        case effects.Send(message=messages.ClaimSettle() as msg):
            return f"settle {msg.outcome}"
        case effects.Send(message=messages.Reregister() as msg):
            return f"reregister {len(msg.waiting)}+{len(msg.running)}"
        case effects.Send(message=messages.ClaimAsk(look=True)):
            return "claimlook"
        case effects.Send(message=message):
            return type(message).__name__.lower()
        case effects.OpenAttempt(backend=name):
            return f"open {name}"
        case effects.ResumeAttempt(backend=name):
            return f"resume {name}"
        case effects.CancelAttempt():
            return "cancel"
        case effects.Answer(problem=problem):
            return f"answer {problem.reason} {problem.outcome}"
        case effects.ReplayFrom(host=host):
            return f"replay from {host}"
    return type(effect).__name__.lower()


def claim_key(workspace, key):
    """Return the ledger key of a caller's Idempotency-Key."""
    return claims.key_digest(workspace, "desk", key)
