"""Callers of all classes, and what each of their tries came to."""

import dataclasses
import http.client
import json
import random
import re
import threading
import time

from tools.rig import backends
from tools.rig import fleet as fleets

__all__ = ["API_KEYS", "KINDS", "Kind", "Load", "Try"]

HOST = "desk"
API_KEYS = ("key-1", "key-2", "key-3")
# What callers keep of where they may connect, s; some keep it three times as
# long, some for good.
TTL_S = 1.0
KEEPS = (1, 1, 3, 1000, 1000)
# Shares of tries on a new connection, and of streams whose callers break off
# and take them up at another host.
ANEW_SHARE = 0.3
BREAK_SHARE = 0.3
RESUME_S = 0.05
# Shares of streams that are taken up without the name of their first request,
# that are taken up at two hosts at once, and that are repeated by servers.
NAMELESS_SHARE = 0.3
TWICE_SHARE = 0.15
REPEATS_SHARE = 0.05
# Callers go first of all to some hosts for so long, s, and so many do.
FAVOUR_S = 1.5
FAVOUR_SHARE = 0.7
# Share of requests that go to the busiest service.
BUSIEST_SHARE = 0.7
# Callers give up after so many refusals.
MAX_REFUSALS = 6
MAX_PAUSE_S = 0.2
MIN_LEFT_S = 0.3
_EVENT = re.compile(rb"id: (\d+)\ndata: \1/(\d+) (\S+) (\S+)\n\n")


@dataclasses.dataclass(frozen=True)
class Kind:
    """A class of requests, which last log-normally long, s."""

    name: str
    route: str
    median_s: float
    sigma: float
    longest_s: float
    limit_s: float
    service: str
    attempts: int = 1
    resumable: bool = False
    share: int = 1
    rare_s: tuple = ()
    split: tuple = ()
    rare_share: float = 0.02

    @property
    def is_stream(self):
        """Return whether its answers are streams."""
        return self.route == "stream"

    @property
    def is_repeatable(self):
        """Return whether a request may run more than once."""
        return self.route == "safe" or self.resumable

    def draw_s(self, rng):
        """Return how long a request takes, s."""
        if self.rare_s and rng.random() < self.rare_share:
            return rng.uniform(*self.rare_s)
        return min(self.longest_s,
                   self.median_s * rng.lognormvariate(0.0, self.sigma))


# Services of which one version serves for a while.
LONE = tuple(f"lone{number}" for number in range(1, 7))
KINDS = (
    Kind("long", "stream", 1.5, 0.9, 10.0, 12.0, "engines", share=2,
         rare_s=(4.0, 7.0), rare_share=0.2),
    Kind("brief", "stream", 0.5, 1.2, 7.0, 9.0, "engines", share=3),
    Kind("chat", "stream", 0.8, 1.0, 7.0, 9.0, "engines", 2, True, share=4),
    Kind("fork", "stream", 0.8, 1.0, 7.0, 9.0, "engines", 2, True, share=2,
         split=("engines", "others")),
    *(Kind(name, "stream", 0.8, 1.0, 7.0, 9.0, name, 2, True)
      for name in LONE),
    Kind("book", "unsafe", 0.06, 0.5, 0.5, 7.0, "plain", share=3,
         rare_s=(3.0, 5.0)),
    Kind("read", "safe", 0.06, 0.5, 0.5, 4.0, "plain", 2, share=2),
)
NAMED = {kind.name: kind for kind in KINDS}


@dataclasses.dataclass
class Try:
    """A request as its caller saw it; times are of the steady clock, s.

    ``stream`` names the request that began what this one takes up after
    ``last_event``, of ``total``. ``events`` are (number, of how many, version,
    server). ``ending`` says why there is no whole answer: how the connection
    ended, "limit" or "left", and ``mixed`` what a success has that isn't its
    own.
    """

    rid: str
    kind: str
    host: str
    stream: str
    kept: bool
    limit_s: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    last_event: int = 0
    total: int = 0
    status: int = 0
    whole: bool = False
    retry_after_s: float | None = None
    ending: str = ""
    events: list = dataclasses.field(default_factory=list)
    mixed: str = ""

    @property
    def is_broken_off(self):
        """Return whether it ended early, and not by its caller."""
        return not self.whole and self.ending not in ("left", "limit")

    @property
    def is_refused(self):
        """Return whether the answer promises that it wasn't run."""
        return self.whole and self.status in (408, 421, 429, 503)


class Load:
    """Threads that each send one request after the other."""

    def __init__(self, fleet, callers, seed):
        self.fleet = fleet
        self.tries = []
        self._ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True, args=(
                number, random.Random(f"{seed}:{number}")))
            for number in range(callers)]
        for thread in self._threads:
            thread.start()

    def end(self):
        """Send no more requests, and wait for the answers."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number, rng):
        caller = _Caller(self.fleet, rng, rng.choice(KEEPS))
        for count in range(1 << 30):
            if self._ending.wait(rng.uniform(0.0, MAX_PAUSE_S)):
                break
            kind, = rng.choices(KINDS, [each.share for each in KINDS])
            if self.fleet.busiest and rng.random() < BUSIEST_SHARE:
                kind = NAMED[self.fleet.busiest]
            self._ask(caller, kind, rng, f"{number}-{count}")
        caller.close()

    def _ask(self, caller, kind, rng, name):
        """Send a request until it is served or its time is up."""
        lasts_s = kind.draw_s(rng)
        work = {"first_s": lasts_s}
        if kind.is_stream:
            count = max(2, min(60, round(lasts_s / 0.05)))
            work = {"first_s": 0.02, "events": count,
                    "gap_s": lasts_s / count,
                    "repeats": rng.random() < REPEATS_SHARE}
        until = time.monotonic() + kind.limit_s
        refusals = 0
        last, stream, named = 0, "", rng.random() >= NAMELESS_SHARE
        for again in range(1000):
            left_s = until - time.monotonic()
            if left_s < MIN_LEFT_S:
                return
            breaks_at = None
            if kind.resumable and rng.random() < BREAK_SHARE:
                breaks_at = rng.randrange(1, work["events"] + 1)
            twin = None
            if last and rng.random() < TWICE_SHARE:
                twin = self._start_twin(
                    caller, kind, work, f"{name}-{again}-twin", stream, last,
                    left_s, named)
            row = caller.ask(kind, work, f"{name}-{again}", stream, last,
                             left_s, breaks_at, named)
            if twin is not None:
                twin.join()
            if row is None:
                time.sleep(RESUME_S)
                continue
            self.tries.append(row)
            if row.events:
                last = row.events[-1][0]
                stream = stream or row.rid
            refusals += row.is_refused
            if row.whole and not row.is_refused or refusals > MAX_REFUSALS:
                return
            if not (row.is_refused or kind.is_repeatable):
                return
            if row.events and not kind.resumable:
                return
            time.sleep(RESUME_S if row.retry_after_s is None
                       else row.retry_after_s)
            caller.leave()

    def _start_twin(self, caller, *args):
        """Start a second try at another host; return its thread."""
        def ask(twin, kind, work, rid, stream, last, left_s, named):
            row = twin.ask(kind, work, rid, stream, last, left_s, None, named)
            if row is not None:
                self.tries.append(row)
            twin.close()

        twin = _Caller(self.fleet, random.Random(args[2]), 1000)
        while twin.ip == caller.ip and len(self.fleet.ips) > 1:
            twin.leave()
        thread = threading.Thread(target=ask, args=(twin, *args), daemon=True)
        thread.start()
        return thread


class _Caller:
    """A client of the hosts, which keeps addresses and a connection."""

    def __init__(self, fleet, rng, keeps):
        self.fleet = fleet
        self.rng = rng
        self.keeps_s = keeps * TTL_S
        self.known = list(fleet.ips)
        self.known_at = -1e9
        self.conn = None
        self.ip = rng.choice(fleet.ips)
        self.api_key = rng.choice(API_KEYS)

    def _learn(self):
        now = time.monotonic()
        if now < self.known_at + self.keeps_s:
            return
        conn = http.client.HTTPConnection(
            self.rng.choice(self.fleet.ips), fleets.PORTS["Dir"], timeout=1.0)
        try:
            conn.request("GET", f"/crocuskeel/resolve?Name={HOST}")
            found = json.load(conn.getresponse())["Addrs"]
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            return
        finally:
            conn.close()
        if found:
            self.known = [each.partition(":")[0] for each in found]
            self.known_at = now
            if self.ip not in self.known:
                self.leave()

    def leave(self):
        """Go to another host."""
        self.close()
        others = [ip for ip in self.known if ip != self.ip]
        if (self.fleet.favoured and self.rng.random() < FAVOUR_SHARE
                and time.monotonic() < self.fleet.favoured_at + FAVOUR_S):
            others = self.fleet.favoured
        self.ip = self.rng.choice(others or self.fleet.ips)

    def close(self):
        """Close the connection."""
        if self.conn is not None:
            self.conn.close()
            self.conn = None

    def _is_lured(self, row):
        """Return whether a stream is broken off to go to favoured hosts."""
        at = self.fleet.favoured_at
        return (row.sent_at < at <= time.monotonic() < at + FAVOUR_S
                and row.host not in self.fleet.favoured
                and self.rng.random() < FAVOUR_SHARE)

    def ask(self, kind, work, rid, stream, last, left_s, breaks_at,
            named=True):
        """Send a request; return its Try, or None without a connection."""
        self._learn()
        if self.rng.random() < ANEW_SHARE:
            self.close()
        kept = self.conn is not None
        if not kept:
            self.conn = http.client.HTTPConnection(
                self.ip, fleets.PORTS["Front"], timeout=1.0)
            try:
                self.conn.connect()
            except OSError:
                self.leave()
                return None
        row = Try(rid, kind.name, self.ip, stream or rid, kept, left_s,
                  last_event=last, total=work.get("events", 0))
        try:
            self._exchange(row, kind, work, stream if named else "",
                           breaks_at)
        except TimeoutError:
            row.ending = "limit"
        except (OSError, http.client.HTTPException) as exc:
            row.ending = type(exc).__name__
        row.ended_at = time.monotonic()
        if not row.whole:
            self.close()
        return row

    def _exchange(self, row, kind, work, stream, breaks_at):
        headers = {"Host": HOST, backends.RID: row.rid,
                   "Authorization": f"Bearer {self.api_key}",
                   "X-Crocuskeel-Deadline-Ms": str(int(row.limit_s * 1000))}
        if row.last_event:
            headers["Last-Event-Id"] = str(row.last_event)
            if stream:
                headers["Resumes"] = stream
        self.conn.sock.settimeout(row.limit_s)
        row.sent_at = time.monotonic()
        until = row.sent_at + row.limit_s
        self.conn.request("POST", f"/{kind.name}/1", json.dumps(work),
                          headers)
        row.sent_at = time.monotonic()
        resp = self.conn.getresponse()
        row.status = resp.status
        value = resp.getheader("Retry-After")
        row.retry_after_s = None if value is None else float(value)
        data, size = b"", 0
        while piece := resp.read1(65536):
            data += piece
            row.events, size = _parse(data)
            if row.events and (
                    breaks_at is not None and row.events[-1][0] >= breaks_at
                    or kind.resumable and self._is_lured(row)):
                row.ending = "left"
                return
            left_s = until - time.monotonic()
            if left_s <= 0.0:
                raise TimeoutError
            if self.conn.sock is not None:
                self.conn.sock.settimeout(left_s)
        row.whole = not resp.length
        if row.status == 200:
            if resp.getheader(backends.RID) != row.rid or (
                    resp.getheader(backends.STAMP) is None):
                row.mixed = f"headers {resp.getheaders()}"
            elif row.whole and data[size:] != (
                    b"" if kind.is_stream else backends.body(row.rid)):
                row.mixed = f"bytes {data[size:][:200]}"
        resp.close()
        if not row.whole:
            row.ending = "IncompleteRead"
        elif resp.will_close:
            self.close()


def _parse(data):
    """Return the events that data begins with, and their size."""
    events, size = [], 0
    while found := _EVENT.match(data, size):
        number, total, version, sid = found.groups()
        events.append((int(number), int(total), version.decode(),
                       sid.decode()))
        size = found.end()
    return events, size
