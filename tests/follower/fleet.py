"""Runs real follower reducers on some hosts with an in-memory store."""

import heapq
import itertools
import random
import types

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import messages
from crocuskeel.core import state as core_state
from tests import liveness

DELAY_S = 0.005
DOCUMENT = {
    "deployment": {"name": "d", "failure_domains": ["a"]},
    "services": {"desk": {"kind": "plain"}},
    "classes": {"booking": {"service": "desk", "tier": 1}},
    "workspaces": {"ws": {}},
}


class Fleet:
    """Hosts, a store with an outage switch, and a virtual clock.

    ``cut`` holds pairs of hosts (or a host and "platform") that can't
    reach each other; "*" stands for all others. ``log`` holds the
    recorded timeline events. ``delay()`` returns how long a message or an
    answer takes, s. Each start of a host is a new incarnation; messages
    to an earlier one are delivered.
    """

    def __init__(self, names, delay=lambda: DELAY_S):
        self.names = tuple(names)
        self.delay = delay
        self.incarnations = {}
        self.now = 0.0
        self.queue = []
        self.count = itertools.count()
        self.objects = {}
        self.version = 0
        self.cut = set()
        self.stale_head = None
        self.tree = conf.empty_tree()
        self.head = None
        self.hosts = {}
        self.timers = {}
        self.log = []
        self.handled = []
        self.calls = 0

    def start(self, *names):
        """Start daemons with no settings."""
        for name in names:
            self.incarnations[name] = self.incarnations.get(name, 0) + 1
            self.hosts[name] = _daemon(name, self)
            self.feed(name, events.Started())

    def exchange(self, sender, receiver):
        """Deliver a message of another component, as a probe is one."""
        if self._can_reach(sender, receiver):
            self.feed(receiver, events.Received(
                sender, self.incarnations[sender], messages.HostListAsk(-1),
                follower.generation(self.hosts[sender])))

    def restart(self, name):
        """Replace a daemon by one with no settings."""
        self.stop(name)
        self.start(name)

    def stop(self, name):
        """Stop a daemon; its timers and calls end with it."""
        del self.hosts[name]
        for key in [each for each in self.timers if each[0] == name]:
            del self.timers[key]

    def commit(self, edits):
        """Commit a batch, as an operator's command does."""
        number = self.tree.generation
        batch = conf.new_batch("op", 0.0, number, edits)
        made = storage.prepare(self.tree, self.head, batch).unwrap()
        for part in made.parts:
            self._put(storage.part_key(part.digest), part.blob)
        self._put(storage.HEAD_KEY, storage.encode_head(made.head))
        self.tree, self.head = made.tree, made.head

    def _put(self, path, body):
        self.version += 1
        self.objects[path] = (self.version, body)

    def feed(self, name, event):
        """Handle an event on a host and carry out its effects."""
        daemon = self.hosts[name]
        if handle_arrival(daemon, event, self.now, self.handled):
            return
        if type(event) is events.Received:
            self._do(name, follower.record_peer_generation(
                daemon, event, self.now))
        self._do(name, follower.handle(daemon, event, self.now))
        for arrival in follower.take_released(daemon):
            self.handled.append((arrival.rid, follower.generation(daemon),
                                follower.ready(daemon, self.now)))
        self._check_liveness(name)

    def _check_liveness(self, name):
        """Check that a host reads the head again, and retries if behind."""
        state = self.hosts[name].follower
        wakeups = {key for host, key in self.timers if host == name}
        waiting = {"head": {("follower", "read")}}
        if state.behind_since is not None or state.load or state.parked:
            waiting["newer generation"] = {("follower", "retry")}
        if state.floor is None:
            waiting["recovery"] = {("follower", "retry")}
        liveness.check(f"follower {name}", waiting, wakeups)

    def arrive(self, name, rid):
        """Deliver a caller's request to a host."""
        event = events.RequestArrived(
            rid, "", "POST", "/", "booking", "", False, 0, 0, 0, "", "")
        self.feed(name, event)

    def run(self, until):
        """Advance the virtual clock."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def generations(self):
        """Return the generation in force on each host."""
        return {name: follower.generation(daemon)
                for name, daemon in self.hosts.items()}

    def later(self, after_s, action):
        """Schedule ``action`` after a delay."""
        heapq.heappush(self.queue,
                       (self.now + after_s, next(self.count), action))

    def _can_reach(self, first, second):
        return not {(first, second), (second, first), (first, "*"),
                    (second, "*")} & self.cut

    def _do(self, name, wanted):
        for effect in wanted:
            match effect:
                case effects.Send(host=host, message=message):
                    self._send(name, host, message)
                case effects.SetTimer(key=key, after_s=after_s):
                    self._set_timer(name, key, after_s)
                case effects.StoreGet() | effects.StoreWatch():
                    self._read(name, effect)
                case effects.Record():
                    self.log.append((self.now, name, effect))

    def _send(self, name, host, message):
        sender = self.hosts[name]
        event = events.Received(name, self.incarnations[name], message,
                                follower.generation(sender))

        def deliver():
            if host in self.hosts and self._can_reach(name, host):
                self.feed(host, event)
        self.later(self.delay(), deliver)

    def _set_timer(self, name, key, after_s):
        token = object()
        self.timers[name, key] = token

        def fire():
            if self.timers.get((name, key)) is token:
                del self.timers[name, key]
                self.feed(name, events.TimerFired(key))
        self.later(after_s, fire)

    def _read(self, name, effect):
        self.calls += 1
        status = events.StoreStatus
        wait = getattr(effect, "timeout_s", 0.0)
        caller = self.hosts[name]
        if not self._can_reach(name, "platform"):
            answer = events.StoreAnswered(effect.op, status.UNAVAILABLE)
            self.later(self.delay(),
                       lambda: self._answer(name, caller, answer))
        else:
            self.later(self.delay(), lambda: self._found(
                name, caller, effect, self.now + wait))

    def _answer(self, name, caller, answer):
        if self.hosts.get(name) is caller:
            self.feed(name, answer)

    def _found(self, name, caller, effect, until):
        status = events.StoreStatus
        version, body = self.objects.get(effect.path, (0, None))
        if self.stale_head and effect.path == storage.HEAD_KEY:
            version, body = self.stale_head
        waits = getattr(effect, "version", None) == version
        if body is None:
            answer = events.StoreAnswered(effect.op, status.NOT_FOUND)
        elif waits and self.now < until:
            self.later(0.05, lambda: self._found(
                name, caller, effect, until))
            return
        elif waits:
            answer = events.StoreAnswered(effect.op, status.UNCHANGED)
        else:
            answer = events.StoreAnswered(
                effect.op, status.FOUND, version, body)
        self._answer(name, caller, answer)


def handle_arrival(daemon, event, now, handled):
    """Park an arrival or record the generation that handles it.

    Return whether the event was an arrival.
    """
    if type(event) is not events.RequestArrived:
        return False
    if not follower.park(daemon, event, now):
        handled.append((event.rid, follower.generation(daemon),
                       follower.ready(daemon, now)))
    return True


def _daemon(name, fleet):
    me = core_state.Identity("d", name, "a", "r", "", 0, 0,
                             fleet.incarnations[name])
    members = types.SimpleNamespace()
    daemon = core_state.Daemon(
        me, core_state.Limits(), random.Random(name),
        follower.new_state(), members, None, None, None, None, None)
    members.fleet = fleet
    return daemon


def live(daemon):
    """Replace ``membership.live``: every host of the fleet is live."""
    return daemon.membership.fleet.names
