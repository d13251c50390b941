"""Callers: they send a request, retry after a refusal, and time out."""

import dataclasses

from crocuskeel.core.entry import model
from emulator import stops

__all__ = ["Caller", "api_key", "new_request", "start"]

ROUTE_HOST = "desk"
# How long callers cache the resolved host addresses, s.
ADDRESS_TTL_S = 2.0
# Output token limit of a request, relative to its events' tokens.
OUTPUT_SLACK = 1.5
# A caller that loses a stream's connection does so after one to so many
# events.
MAX_EVENTS_READ = 5


def api_key(workspace):
    """Return the key of a workspace's callers, empty for the anonymous."""
    return f"key-{workspace}" if workspace else ""


def new_request(rid, kind, subject, left_s, event_tokens, digest="",
                parts=None, workspace=""):
    """Return a caller's request of a kind and a subject.

    ``digest`` is the same for identical requests; default is the id.
    ``parts`` are the prompt's shared parts, by default that of the subject.
    ``workspace`` is the name of the caller's, if it has one.
    """
    prompt = None
    if kind.kind == "stream":
        if parts is None:
            parts = ((f"{kind.name}-{subject}", kind.shared),)
        parts = (*parts, (f"own-{rid}", kind.own))
        prompt = model.Prompt(
            parts, sum(tokens for _, tokens in parts),
            int(kind.events * event_tokens * OUTPUT_SLACK))
    return model.Request(rid, "POST", ROUTE_HOST, f"/{kind.name}/1",
                         api_key(workspace), left_s, prompt, digest or rid)


@dataclasses.dataclass(slots=True)
class TakeUp:
    """One time that a caller took its stream up.

    ``servers`` is the number of servers of the stream's version at that time,
    ``is_connected`` whether it came to a host that was ready.
    """

    at: float
    servers: int
    is_connected: bool
    is_refused: bool = False
    went_on: bool = False


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller with one request, from its first attempt to the outcome.

    ``first_event_at`` is the arrival time of its first event,
    ``longest_gap_s`` its longest gap between events. ``outcome`` is empty
    until it has ended.
    """

    world: object
    rid: str
    kind: object
    subject: int
    at: float
    attempts: int = 0
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    outcome: str = ""
    host: object = None
    key: int | None = None
    # Shared by identical requests; empty if there is only one.
    digest: str = ""
    crashes_servers: bool = False
    # A server that it crashes does so after this many events.
    crash_after: int = 0
    # Shared parts of its prompt, None for that of its subject, and the one
    # of them that crashes servers, if it is due to that.
    parts: tuple | None = None
    bad_part: str = ""
    # The host of its first attempt until that has ended, else empty.
    first_host: str = ""
    # Versions of the engines that wrote events of its stream.
    versions: set = dataclasses.field(default_factory=set)
    # Request id of the attempt that brought the first event.
    begun_rid: str = ""
    # For each time that it took the stream up: whether it went on.
    went_on: list = dataclasses.field(default_factory=list)
    take_ups: list = dataclasses.field(default_factory=list)
    # Whether it takes the stream up without the id of the last event.
    is_anew: bool = False
    loses_connection_at: int = 0
    # The name of its workspace, empty if it is anonymous.
    workspace: str = ""
    # How many events its stream has.
    length: int = 0
    # Its client, None if it shares addresses with all, and the connection of
    # its attempt, which was sent at this time.
    client: object = None
    connection: object = None
    sent_at: float = 0.0
    # Refusals by hosts that were stopping.
    stop_refusals: list = dataclasses.field(default_factory=list)

    def send(self):
        """Send the request to one of the known hosts."""
        left_s = self._deadline() - self.world.clock.now
        if left_s <= 0:
            self._finish("gave up")
            return
        self.attempts += 1
        self.sent_at = self.world.clock.now
        self.host = self._connect()
        if self.attempts == 1 and self.host is not None:
            self.first_host = self.host.name
        request = new_request(
            f"{self.rid}-{self.attempts}", self.kind, self.subject, left_s,
            self.world.deployment.engines.event_tokens, self.digest,
            self.parts, self.workspace)
        if self.begun_rid:
            request = dataclasses.replace(
                request, resumes=self.begun_rid,
                last_event_id=str(self.events) if self.events else "")
            self._note_take_up()
        self.key = None if self.host is None else self.host.receive_request(
            self, request)
        if self.key is None and not self.outcome:
            self._retry_after(0.2)

    def _connect(self):
        """Return the host to send to, or None."""
        if self.client is None:
            host = self.world.host_for_caller()
            return host if host is not None and stops.accepts(host) else None
        self.connection = self.client.connect()
        return None if self.connection is None else self.connection.host

    def _head_arrived(self):
        if self.connection is not None:
            self.connection.head_arrived()

    def _release_connection(self):
        connection, self.connection = self.connection, None
        if connection is not None:
            self.client.release(connection)

    def _note_take_up(self):
        servers = sum(server.version in self.versions and not server.down
                      for server in self.world.engines())
        self.take_ups.append(TakeUp(
            self.world.clock.now, servers,
            self.host is not None and self.host.is_ready()))

    def time_out(self):
        """End the request: its time limit has passed."""
        if self.outcome:
            return
        self._end_first_attempt(False)
        self._finish("gave up")
        if self.host is not None and self.key is not None:
            self.host.caller_disconnected(self.key)

    def receive_event(self, version):
        """Handle an event of a stream, written by an engine of a version."""
        now = self.world.clock.now
        if self.is_anew and not self.events:
            self.versions = set()
            self.begun_rid = f"{self.rid}-{self.attempts}"
        self.versions.add(version)
        self._head_arrived()
        if self.went_on:
            self.went_on[-1] = True
        if self.take_ups:
            self.take_ups[-1].went_on = True
        if self.first_event_at is None:
            self.first_event_at = now
            self.begun_rid = f"{self.rid}-{self.attempts}"
            if self.world.break_share and (
                    self.world.rng.random() < self.world.break_share):
                self.loses_connection_at = self.world.rng.randint(
                    1, MAX_EVENTS_READ)
        else:
            self.longest_gap_s = max(
                self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.events += 1
        if self.events == self.loses_connection_at:
            self.world.clock.after(0.0, self._lose_connection)

    def _lose_connection(self):
        if not self.outcome and self.key is not None:
            self.host.caller_disconnected(self.key)
            self.connection_lost()

    def response_ended(self):
        """Handle the end of a complete response."""
        if self.first_event_at is None:
            self.first_event_at = self.world.clock.now
        self._end_first_attempt(True)
        self._head_arrived()
        self._release_connection()
        on_time = (self.first_event_at - self.at <= self.kind.goal_ms / 1e3
                   and self.longest_gap_s <= self.kind.gap_ms / 1e3)
        self._finish("on time" if on_time else "late")

    def request_refused(self, status, retry_s):
        """Handle an error response; a 503 may be retried after a delay."""
        self._head_arrived()
        self._release_connection()
        self._end_first_attempt(False)
        if self.take_ups:
            self.take_ups[-1].is_refused = True
            if status == 503 and self._take_up_again():
                return
        if status == 503 and self.attempts <= self.kind.retries:
            self._retry_after(retry_s or 0.0)
            return
        self._finish("refused" if status == 503 else "failed")

    def connection_lost(self):
        """Handle the loss of the connection."""
        self._end_first_attempt(False)
        self.key = None
        if self.begun_rid and self._take_up_again():
            return
        self._finish("failed")

    def _take_up_again(self):
        """Take the stream up, unless that was done too often."""
        kind = self.kind
        if len(self.went_on) >= kind.resumes:
            return False
        if not self.went_on and kind.resume_anew:
            self.is_anew = self.world.rng.random() < kind.resume_anew
        if self.is_anew:
            self.events = 0
        self.went_on.append(False)
        self.world.clock.after(kind.resume_ms / 1e3, self.send)
        return True

    def _end_first_attempt(self, is_served):
        if self.first_host:
            self.world.first_attempts.append(
                (self.at, self.first_host, is_served))
            self.first_host = ""

    def _retry_after(self, delay_s):
        if self.world.clock.now + delay_s >= self._deadline():
            self._finish("refused")
            return
        self.world.clock.after(delay_s, self.send)

    def _deadline(self):
        return self.at + self.kind.limit_ms / 1e3

    def _finish(self, outcome):
        if not self.outcome:
            self.outcome = outcome
            if self.digest:
                self.world.identical[self.digest].append(self)
            if not self.crashes_servers:
                self.world.tally.record_outcome(self)
                self.world.tally.stops.record_outcome(
                    self, self.world.clock.now)


def _draw_length(world, kind):
    if not kind.spread:
        return kind.events
    return max(1, round(kind.events * world.load_rng.uniform(
        1.0 - kind.spread, 1.0 + kind.spread)))


def start(world, kind, subject, **fields):
    """Have a new caller send its request; ``fields`` are Caller's.

    Without a ``workspace`` it is one of any of them.
    """
    if "workspace" not in fields:
        fields["workspace"] = world.draw_workspace()
    if world.clients:
        fields["client"] = world.clients[0].rng.choice(world.clients)
    if kind.events and "length" not in fields:
        fields["length"] = _draw_length(world, kind)
    world.last_number += 1
    caller = Caller(world, f"r{world.last_number}", kind, subject,
                    world.clock.now, **fields)
    if kind.kind == "stream":
        world.streams.append(caller)
    world.clock.after(kind.limit_ms / 1e3, caller.time_out)
    caller.send()
