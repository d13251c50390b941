"""Models of backend servers: what they do with requests, and when.

An engine makes one token for each of its running requests a step, and
reads a chunk of a prompt between two steps; a plain server works on a few
calls at once. Both say what happens to who sent the request.
"""

import collections
import dataclasses

from crocuskeel.core.entry import model

__all__ = ["Arrival", "Engine", "PlainServer", "Run"]

# Requests that wait before a full server; one more is refused.
QUEUE = 32


@dataclasses.dataclass(slots=True)
class Run:
    """A request at a server, and whom to tell what comes of it.

    Of ``listener`` the methods ``opened``, ``progressed``, ``ended`` and
    ``broken`` are called with the run. ``unread`` tokens of its prompt
    have to be read, until ``ready_at`` parts of it are on their way from
    another engine. ``events`` are to be made; ``made`` counts tokens,
    ``told`` events so far.
    """

    listener: object
    prompt: object
    events: int
    priority: int
    unread: int = 0
    made: int = 0
    told: int = 0
    over: bool = False
    ready_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server: when, from which host.

    Its caller had asked that host at ``asked_at``.
    """

    at: float
    host: str
    asked_at: float


class _Server:
    """What all servers have. ``factor`` is how much slower it works.

    Its answers name ``rate_limit``, requests a second, and say that it is
    ``leaving``. With ``rest_s`` it refuses all, and asks for so much rest.
    ``arrivals`` are those of all requests, ``told`` is when each host
    first passed on an answer that names a rate, ``told_leaving`` one that
    says that it leaves; ``rests`` holds (time, host, s) of its refusals.
    """

    def __init__(self, clock, sid, cfg):
        self.clock = clock
        self.sid = sid
        self.cfg = cfg
        self.factor = 1.0
        self.down = False
        self.dark = False
        self.waiting = []
        self.running = []
        self.rate_limit = None
        self.leaving = False
        self.rest_s = None
        self.arrivals = []
        self.told = {}
        self.told_leaving = {}
        self.rests = []

    def hints(self):
        """Return what its answers say of what it takes."""
        return model.Hints(self.rate_limit, self.leaving, self.rest_s)

    def cancel(self, run):
        """Drop a request whose connection closed."""
        if not run.over:
            self._remove(run)
            self._go_on()

    def load(self):
        """Return (running, waiting, slots), as it says of itself."""
        return len(self.running), len(self.waiting), self.cfg.slots

    def crash(self):
        """End all connections, and take none."""
        self.down = True
        runs, self.running, self.waiting = (
            self.running + self.waiting, [], [])
        for run in runs:
            run.over = True
            run.listener.broken(run)

    def set_dark(self, dark):
        """Say nothing more, with all connections open."""
        self.dark = dark
        self._go_on()

    def _remove(self, run):
        run.over = True
        if run in self.running:
            self.running.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)

    def _go_on(self):
        raise NotImplementedError


class Engine(_Server):
    """A model engine.

    ``parts`` holds what it keeps of prompts, least recently used first.
    """

    def __init__(self, clock, sid, cfg, tally):
        super().__init__(clock, sid, cfg)
        self.tally = tally
        self.parts = collections.OrderedDict()
        self.parts_tokens = 0
        self.links_until = 0.0
        self.stepping = None

    def begin(self, run, source=None):
        """Take a request, or return False if all is full.

        ``source`` is an engine to fetch shared parts from.
        """
        if len(self.waiting) >= QUEUE or self.rest_s is not None:
            return False
        fetched = self._fetch(run, source)
        run.unread = self._unread(run.prompt)
        self.tally.note_read(run.prompt, run.unread, fetched)
        for part, tokens in run.prompt.parts:
            self._keep(part, tokens)
        self.waiting.append(run)
        self.waiting.sort(key=lambda each: each.priority)
        self._admit()
        self._go_on()
        return True

    def _fetch(self, run, source):
        if source is None or source.down or not self.cfg.fetch_token_us:
            return 0
        tokens = 0
        for part, count in run.prompt.parts[:-1]:
            if part not in self.parts and part in source.parts:
                self._keep(part, count)
                tokens += count
        span = tokens * self.cfg.fetch_token_us / 1e6
        begins = max(self.clock.now, self.links_until, source.links_until)
        self.links_until = source.links_until = begins + span
        run.ready_at = begins + span if tokens else 0.0
        return tokens

    def _unread(self, prompt):
        unread = prompt.tokens
        for part, tokens in prompt.parts:
            if part not in self.parts:
                break
            unread -= tokens
        return unread

    def _keep(self, part, tokens):
        if part in self.parts:
            self.parts.move_to_end(part)
            return
        self.parts[part] = tokens
        self.parts_tokens += tokens
        self._make_room()

    def _make_room(self):
        used = sum(run.prompt.max_output_tokens for run in self.running)
        while self.parts and self.parts_tokens + used > self.cfg.memory:
            _, dropped = self.parts.popitem(last=False)
            self.parts_tokens -= dropped

    def _go_on(self):
        if self.stepping is None and not (self.down or self.dark):
            self._admit()
            if self.running:
                self._plan()

    def _admit(self):
        while self.waiting and len(self.running) < self.cfg.slots:
            self.running.append(self.waiting.pop(0))
            self._make_room()

    def _plan(self):
        """Set when the next step ends; steps that only go on are one."""
        reading = self._reading()
        span = self.cfg.step_ms + self.cfg.running_ms * len(self.running)
        steps = 1
        if reading is not None:
            span += 1e3 * min(
                self.cfg.chunk, reading.unread) / self.cfg.read_tokens_s
        else:
            steps = self._steps_until_event()
        self.stepping = self.clock.after(
            steps * span * self.factor / 1e3, self._stepped, reading, steps)

    def _reading(self):
        """Return the run whose prompt is read next, or None.

        Priorities order who gets a slot; prompts are read as they came.
        """
        return next((run for run in self.running if run.unread > 0
                     and run.ready_at <= self.clock.now), None)

    def _steps_until_event(self):
        left = [self.cfg.event_tokens - run.made % self.cfg.event_tokens
                for run in self.running if run.unread <= 0]
        return min(left, default=1)

    def _stepped(self, reading, steps):
        self.stepping = None
        for run in list(self.running):
            if run.unread <= 0 and not run.over:
                run.made += steps
                self._tell(run)
        if reading is not None and not reading.over:
            reading.unread -= min(self.cfg.chunk, reading.unread)
        self._go_on()

    def _tell(self, run):
        events = run.made // self.cfg.event_tokens
        if events <= run.told:
            return
        run.told = events
        if events == 1:
            run.listener.opened(run)
        else:
            run.listener.progressed(run)
        if events >= run.events:
            self._remove(run)
            run.listener.ended(run)

    def crash(self):
        """End all connections, and take none."""
        self._halt()
        super().crash()
        self.parts.clear()
        self.parts_tokens = 0

    def set_dark(self, dark):
        """Say nothing more, with all connections open."""
        if dark:
            self._halt()
        super().set_dark(dark)

    def _halt(self):
        if self.stepping is not None:
            self.clock.cancel(self.stepping)
            self.stepping = None


class PlainServer(_Server):
    """A server of a plain service."""

    def begin(self, run, source=None):
        """Take a request, or return False if all is full."""
        if len(self.waiting) >= QUEUE or self.rest_s is not None:
            return False
        self.waiting.append(run)
        self._go_on()
        return True

    def _go_on(self):
        while (self.waiting and len(self.running) < self.cfg.slots
               and not (self.down or self.dark)):
            run = self.waiting.pop(0)
            self.running.append(run)
            self.clock.after(self.cfg.work_ms * self.factor / 1e3,
                             self._done, run)

    def _done(self, run):
        if not run.over and not self.dark:
            self._remove(run)
            self._go_on()
            run.listener.ended(run)
