"""Emulator runs with scheduled engines, and what is seen in them."""

import contextlib
import dataclasses
import functools
from unittest import mock

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.scheduling import settings
from emulator import callers
from emulator import deployment as deployments
from emulator import engine as engines
from emulator import faults as injected
from emulator import hosts
from emulator import relays
from emulator import run

__all__ = ["AUDIT", "CHAT", "CHECK", "ENGINES", "ENGINES_GONE_S", "HOSTS",
           "KINDS", "LONGEST_S", "Run", "SAMPLE_S", "SECONDS", "may_wait_s",
           "play"]

# As in the deployed settings file.
MIN_PATIENCE = 4.5
HOSTS = 4
SEED = 1
SECONDS = 10.0
# Most prompts have a shared part that no engine holds, so that few requests
# are needed for a load: these bring 0.4 of what engines read in a second.
CHAT = deployments.Kind(
    "chat", "stream", 9.0, 0, 350, 1_110, 40, 30, 400.0, 250.0, 10_000.0,
    2.0, 0.15)
CHECK = deployments.Kind(
    "check", "stream", 9.0, 1, 6_300, 2_890, 1_000, 10, 500.0, 400.0,
    5_000.0, 2.0, 0.4)
AUDIT = deployments.Kind(
    "audit", "stream", 9.0, 2, 13_300, 3_720, 1_000, 22, 1_500.0, 1_000.0,
    8_000.0, 2.0, 0.4)
KINDS = (CHAT, CHECK, AUDIT)
LONGEST_S = max(kind.limit_ms for kind in KINDS) / 1e3
ENGINES = deployments.Engines(
    count=6, slots=64, memory=603_345, read_tokens_s=112_000, step_ms=3.6,
    running_ms=0.09, chunk=2_048, event_tokens=5, fetch_token_us=0.82)
# Engines that crashed are replaced after this, s.
ENGINES_GONE_S = 3.0
SAMPLE_S = 0.05


class Run:
    """A run of the emulator and what was seen in it; times from its begin.

    ``tries`` holds (at, caller, name of the host) of all attempts,
    ``refusals`` (at, caller) of those refused as not run and ``arrivals``
    (at, tokens) of prompts at engines. ``rooms`` holds (at, the callers in
    each waiting room), ``waits`` maps (caller's id, arrival, whether it may
    have run) to (caller, time until it was last seen there, how long it may
    wait),
    ``engine_tokens`` is the most tokens in an engine's memory, and
    ``rows_sent`` the names of hosts to which queued requests were reported.
    """

    def __init__(self, world):
        self.world = world
        self.tries = []
        self.refusals = []
        self.arrivals = []
        self.rooms = []
        self.waits = {}
        self.engine_tokens = 0
        self.rows_sent = set()

    def now(self):
        """Return the time from the run's begin, s."""
        return self.world.clock.now - self.world.tally.began

    def sample(self):
        """Note the state of all rooms and engines, now and repeatedly."""
        self.world.clock.after(SAMPLE_S, self.sample)
        self.rooms.append((self.now(), [
            [self._note_waiting(host, waiting)
             for queue in schedule.room.queues.values()
             for waiting in queue.waiting.values()]
            for host in self.world.hosts.values() if host.core
            for schedule in host.core.schedules.values()]))
        self.engine_tokens = max(self.engine_tokens, *(
            _tokens(server) for server in self.world.servers.values()
            if isinstance(server, engines.Engine)))

    def _note_waiting(self, host, waiting):
        caller = _caller(host, waiting.key)
        pending = host.core.pending[waiting.key]
        self.waits[caller.rid, pending.arrived_at, pending.may_have_run] = (
            caller, self.world.clock.now - pending.arrived_at,
            _attempt_may_wait_s(pending))
        return caller

    def callers(self, since, until, kind=None, names=None):
        """Return those who came within a span, and first to these hosts."""
        first = {}
        for _, caller, name in self.tries:
            first.setdefault(caller.rid, name)
        began = self.world.tally.began
        return [caller for caller in self.world.streams
                if since <= caller.at - began < until
                and kind in (None, caller.kind)
                and (names is None or first.get(caller.rid) in names)]

    def served(self, *args, **kwargs):
        """Return the share of such callers that got a whole answer."""
        found = self.callers(*args, **kwargs)
        return sum(caller.outcome in ("on time", "late")
                   for caller in found) / len(found)


def _caller(host, key):
    """Return the caller of a request, also of one that was relayed."""
    caller = host.pending[key].caller
    while isinstance(caller, relays.Relay):
        listener = caller.listener
        caller = listener.host.pending[listener.key].caller
    return caller


def may_wait_s(caller):
    """Return how long a caller's first attempt may wait, s."""
    return settings.Settings().wait_share * caller.kind.limit_ms / 1e3


def _attempt_may_wait_s(pending):
    """Return how long a request may wait that has not run, s.

    It is a share of the time that its caller had left as it came, so a
    caller that comes again may wait for less each time.
    """
    return settings.Settings().wait_share * min(
        pending.request.deadline_s, pending.route.timeout_s)


def _tokens(server):
    """Return the tokens that an engine's running requests hold."""
    parts = {part: tokens for each in server.running
             for part, tokens in each.prompt.parts}
    return sum(parts.values()) + sum(
        each.generated_tokens for each in server.running)


def _catalog(catalog):
    """Return the configuration with the numbers of servers of the page."""
    return dataclasses.replace(catalog, routes={
        name: [route if route.name == CHECK.name else dataclasses.replace(
            route, max_servers=1, resumable=False) for route in routes]
        for name, routes in catalog.routes.items()})


def _recorded(seen, former):
    """Patch what callers and hosts do so that a Run notes it.

    The hosts named in ``former`` neither send nor accept reports of queued
    requests.
    """
    receive = hosts.EntryHost.receive_request
    refuse = callers.Caller.request_refused
    send = hosts.EFFECT_HANDLERS[effects.SendToPeer]
    submit = engines.Engine.submit

    def receive_request(host, caller, request):
        if isinstance(caller, callers.Caller):
            seen.tries.append((seen.now(), caller, host.name))
        return receive(host, caller, request)

    def request_refused(caller, status, retry_s):
        if status == 503:
            seen.refusals.append((seen.now(), caller))
        refuse(caller, status, retry_s)

    def submit_run(server, each, source=None):
        seen.arrivals.append((seen.now(), each.prompt.tokens))
        return submit(server, each, source)

    def send_to_peer(host, effect):
        if isinstance(effect.event, events.PeerDemandReceived):
            if host.name in former:
                return
            seen.rows_sent.add(effect.peer.name)
        elif (host.name in former
              and isinstance(effect.event, events.PeerStateReceived)):
            effect = dataclasses.replace(effect, event=dataclasses.replace(
                effect.event, takes_demand=False))
        send(host, effect)

    stack = contextlib.ExitStack()
    for owner, name, function in (
            (hosts.EntryHost, "receive_request", receive_request),
            (callers.Caller, "request_refused", request_refused),
            (engines.Engine, "submit", submit_run)):
        stack.enter_context(mock.patch.object(owner, name, function))
    stack.enter_context(mock.patch.dict(
        hosts.EFFECT_HANDLERS, {effects.SendToPeer: send_to_peer}))
    return stack


@functools.cache
def play(*faults, former=(), unscheduled=(), max_waiting=400,
         seconds=SECONDS, kinds=KINDS, **engine):
    """Simulate a load; return a Run after all callers' limits.

    The hosts named in ``former`` don't take reports of queued requests, and
    those in ``unscheduled`` have no settings. ``engine`` replaces fields of
    ENGINES.
    """
    world = run.World(deployments.Deployment(
        name="failures", hosts=HOSTS, seconds=seconds, way_ms=1.0,
        plain=deployments.Plain(), kinds=kinds, faults=faults,
        engines=dataclasses.replace(ENGINES, **engine)), SEED)
    world.catalog = _catalog(world.catalog)
    seen = Run(world)
    new_host = functools.partial(
        hosts.entry.new_host, scheduling=settings.Settings(
            min_patience=MIN_PATIENCE, max_waiting=max_waiting))
    with mock.patch.object(hosts.entry, "new_host", new_host), _recorded(
            seen, former), mock.patch.object(
                injected, "REPLACEMENT_DELAY_S", ENGINES_GONE_S):
        world.start()
        for name in unscheduled:
            core = world.hosts[name].core
            core.scheduling, core.scheduled_catalog = settings.Settings(), None
        world.start_load()
        seen.sample()
        world.clock.run(world.tally.began + seconds + LONGEST_S)
    return seen
