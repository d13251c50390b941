"""Models of backend servers and of how long they take for requests.

An engine generates one token for each of its running requests per step,
and prefills a chunk of one prompt between two steps; a plain server runs a
few calls at once. Both notify the listener of a request.
"""

import collections
import dataclasses

from crocuskeel.core.entry import model

__all__ = ["Arrival", "Engine", "MAX_WAITING", "PlainServer", "Run"]

# Queue length of a server with no free slot; further requests are refused.
MAX_WAITING = 32


@dataclasses.dataclass(slots=True)
class Run:
    """A request at a server, and the listener for its progress.

    The methods ``opened``, ``progressed``, ``ended`` and ``broken`` of
    ``listener`` are called with the run. ``unread_tokens`` is the number
    of prompt tokens still to prefill; until ``ready_at`` cached parts are
    being transferred from another engine. ``events`` is the number of
    events to send; ``generated_tokens`` and ``events_sent`` are counts of
    what was generated and sent so far. ``crashes_server``: the server
    crashes as it begins to run it, an engine after ``crash_after`` events.
    ``bad_part`` is the part of the prompt to which that is due, if any.
    """

    listener: object
    prompt: object
    events: int
    priority: int
    unread_tokens: int = 0
    generated_tokens: int = 0
    events_sent: int = 0
    finished: bool = False
    ready_at: float = 0.0
    crashes_server: bool = False
    crash_after: int = 0
    bad_part: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a request at a server: the time and the sending host.

    That host had received it from the caller at ``asked_at``.
    """

    at: float
    host: str
    asked_at: float


class _Server:
    """Base class of servers. ``slowdown`` multiplies its processing time.

    ``speed`` divides it; it is 1.0 for all servers but the engines of a
    deployment with ``speeds``.

    Its responses carry ``rate_limit``, requests a second, and the
    ``leaving`` flag. With ``rest_s`` it refuses all requests and asks for
    that backoff. ``arrivals`` lists all requests that arrived; ``told`` maps
    each host to its first response with a rate limit, ``told_leaving`` to
    the first with the leaving flag; ``rests`` holds (time, host, s) of the
    refusals. ``on_crash(run)`` is called when a run crashes it; a share
    ``lost_share`` of its responses breaks off at the first event. ``version``
    is that of its software. If it is ``brittle``, its responses say so, and
    ``on_fall()`` is called once it refused more than so many requests in a
    second for want of room. With ``ends_connections`` its streams have
    neither a length nor chunks: one that a crash ends looks complete.
    """

    def __init__(self, clock, sid, cfg):
        self.clock = clock
        self.sid = sid
        self.cfg = cfg
        self.slowdown = 1.0
        self.speed = 1.0
        self.down = False
        self.unresponsive = False
        self.waiting = []
        self.running = []
        self.rate_limit = None
        self.leaving = False
        self.rest_s = None
        self.arrivals = []
        self.told = {}
        self.told_leaving = {}
        self.rests = []
        self.on_crash = None
        self.lost_share = 0.0
        self.rng = None
        self.version = ""
        self.max_waiting = MAX_WAITING
        self.brittle = None
        self.on_fall = None
        self.ends_connections = False
        self.refused_at = collections.deque()

    def hints(self):
        """Return the hints on its capacity that its responses carry."""
        return model.Hints(self.rate_limit, self.leaving, self.rest_s,
                           self.brittle is not None)

    def _has_room(self):
        """Return whether a request is accepted; count it if not."""
        if self.rest_s is not None:
            return False
        if len(self.waiting) < self.max_waiting or (
                len(self.running) < self.cfg.slots):
            return True
        now = self.clock.now
        self.refused_at.append(now)
        while self.refused_at[0] < now - 1.0:
            self.refused_at.popleft()
        if self.brittle is not None and len(self.refused_at) > self.brittle:
            self.on_fall()
        return False

    def cancel(self, run):
        """Drop a request whose connection was closed."""
        if not run.finished:
            self._remove(run)
            self._schedule_work()

    def load(self):
        """Return (running, waiting, slots) as the server reports them."""
        return len(self.running), len(self.waiting), self.cfg.slots

    def crash(self):
        """Break all connections and refuse new ones."""
        self.down = True
        runs, self.running, self.waiting = (
            self.running + self.waiting, [], [])
        for run in runs:
            run.finished = True
            if self.ends_connections and run.events_sent:
                run.listener.ended(run)
            else:
                run.listener.broken(run)

    def set_unresponsive(self, unresponsive):
        """Stop or resume work, with all connections left open."""
        self.unresponsive = unresponsive
        self._schedule_work()

    def _loses_answer(self):
        return self.lost_share > 0 and self.rng.random() < self.lost_share

    def _break_off(self, run):
        self._remove(run)
        run.listener.broken(run)

    def _remove(self, run):
        run.finished = True
        if run in self.running:
            self.running.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)

    def _schedule_work(self):
        raise NotImplementedError


class Engine(_Server):
    """A model engine.

    ``parts`` is its prefix cache, least recently used first. ``noise`` is
    the factor by which its machine slows it down at present, see
    :mod:`emulator.noise`.
    """

    def __init__(self, clock, sid, cfg, tally):
        super().__init__(clock, sid, cfg)
        self.tally = tally
        self.parts = collections.OrderedDict()
        self.cached_tokens = 0
        self.transfers_until = 0.0
        self.step_timer = None
        self.noise = 1.0

    def load(self):
        """Return the load that the engine reports.

        With machine noise the present step time follows, in percent of the
        engine's usual one.
        """
        load = super().load()
        if self.cfg.noise_share > 0:
            return (*load, round(100 * self.noise))
        return load

    def submit(self, run, source=None):
        """Accept a request, or return False if the server is full.

        ``source`` is an engine to fetch shared parts from.
        """
        if not self._has_room():
            return False
        fetched = self._fetch(run, source)
        run.unread_tokens = self._uncached_tokens(run.prompt)
        self.tally.record_prefill(run.prompt, run.unread_tokens, fetched)
        for part, tokens in run.prompt.parts:
            self._cache_part(part, tokens)
        self.waiting.append(run)
        self.waiting.sort(key=lambda each: each.priority)
        self._admit()
        self._schedule_work()
        return True

    def _fetch(self, run, source):
        if source is None or source.down or not self.cfg.fetch_token_us:
            return 0
        tokens = 0
        for part, count in run.prompt.parts[:-1]:
            if part not in self.parts and part in source.parts:
                self._cache_part(part, count)
                tokens += count
        duration = tokens * self.cfg.fetch_token_us / 1e6
        starts_at = max(
            self.clock.now,
            self.transfers_until,
            source.transfers_until)
        self.transfers_until = source.transfers_until = starts_at + duration
        run.ready_at = starts_at + duration if tokens else 0.0
        return tokens

    def _uncached_tokens(self, prompt):
        unread_tokens = prompt.tokens
        for part, tokens in prompt.parts:
            if part not in self.parts:
                break
            unread_tokens -= tokens
        return unread_tokens

    def _cache_part(self, part, tokens):
        if part in self.parts:
            self.parts.move_to_end(part)
            return
        self.parts[part] = tokens
        self.cached_tokens += tokens
        self._evict_parts()

    def _evict_parts(self):
        used = sum(run.prompt.max_output_tokens for run in self.running)
        while self.parts and self.cached_tokens + used > self.cfg.memory:
            _, dropped = self.parts.popitem(last=False)
            self.cached_tokens -= dropped

    def _schedule_work(self):
        if self.step_timer is None and not (self.down or self.unresponsive):
            self._admit()
            if self.running:
                self._schedule_step()

    def _admit(self):
        while self.waiting and len(self.running) < self.cfg.slots:
            self.running.append(self.waiting.pop(0))
            self._evict_parts()

    def _schedule_step(self):
        """Schedule the end of the next step.

        Steps without a prefill are merged up to the next event.
        """
        prefilling = self._next_prefill()
        duration = self.cfg.step_ms + self.cfg.running_ms * len(self.running)
        steps = 1
        if prefilling is not None:
            duration += 1e3 * min(
                self.cfg.chunk,
                prefilling.unread_tokens) / self.cfg.read_tokens_s
        else:
            steps = self._steps_until_next_event()
        self.step_timer = self.clock.after(
            steps * duration * self.slowdown * self.noise / self.speed / 1e3,
            self._finish_step, prefilling, steps)

    def _next_prefill(self):
        """Return the run to prefill next, or None.

        Priority decides who gets a slot; prefills run in order of admission.
        """
        return next((run for run in self.running if run.unread_tokens > 0
                     and run.ready_at <= self.clock.now), None)

    def _steps_until_next_event(self):
        remaining = [self.cfg.event_tokens
                     - run.generated_tokens % self.cfg.event_tokens
                     for run in self.running if run.unread_tokens <= 0]
        return min(remaining, default=1)

    def _finish_step(self, prefilling, steps):
        self.step_timer = None
        for run in list(self.running):
            if run.unread_tokens <= 0 and not run.finished:
                if (run.crashes_server
                        and run.events_sent >= run.crash_after):
                    self.on_crash(run)
                    return
                run.generated_tokens += steps
                self._emit_events(run)
        if prefilling is not None and not prefilling.finished:
            prefilling.unread_tokens -= min(self.cfg.chunk,
                                            prefilling.unread_tokens)
        self._schedule_work()

    def _emit_events(self, run):
        events = run.generated_tokens // self.cfg.event_tokens
        if events <= run.events_sent:
            return
        run.events_sent = events
        if events == 1 and self._loses_answer():
            self._break_off(run)
            return
        if events == 1:
            run.listener.opened(run)
        else:
            run.listener.progressed(run)
        if events >= run.events:
            self._remove(run)
            run.listener.ended(run)

    def crash(self):
        """Break all connections and refuse new ones."""
        self._cancel_step()
        super().crash()
        self.parts.clear()
        self.cached_tokens = 0

    def set_unresponsive(self, unresponsive):
        """Stop or resume work, with all connections left open."""
        if unresponsive:
            self._cancel_step()
        super().set_unresponsive(unresponsive)

    def _cancel_step(self):
        if self.step_timer is not None:
            self.clock.cancel(self.step_timer)
            self.step_timer = None


class PlainServer(_Server):
    """A server of a plain service."""

    def submit(self, run, source=None):
        """Accept a request, or return False if the server is full."""
        if not self._has_room():
            return False
        self.waiting.append(run)
        self._schedule_work()
        return True

    def _schedule_work(self):
        while (self.waiting and len(self.running) < self.cfg.slots
               and not (self.down or self.unresponsive)):
            run = self.waiting.pop(0)
            self.running.append(run)
            self.clock.after(self.cfg.work_ms * self.slowdown / 1e3,
                             self._finish, run)

    def _finish(self, run):
        if not run.finished and not self.unresponsive:
            if run.crashes_server:
                self.on_crash(run)
                return
            self._remove(run)
            self._schedule_work()
            if self._loses_answer():
                run.listener.broken(run)
                return
            run.listener.ended(run)
