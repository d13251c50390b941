"""Callers that keep addresses and connections, and what became of it all."""

import collections
import random
import threading
import time

from crocuskeel.core.entry import stopping
from tests.stops import hosts as processes

__all__ = ["Load", "count"]

# A closed connection is no loss if it crosses the request within this, s.
LOSS_SLACK_S = 0.2
# A server that is at work in the last sixth of the grace period excuses a
# request that was sent no later than this after SIGTERM, s.
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = processes.GRACE_S * 5 / 6
# When a stopping host exits, s after SIGTERM.
EXIT_S = processes.GRACE_S - stopping.EXIT_MARGIN_S
MAX_PAUSE_S = 0.2


class Load:
    """Threads that each send one request after the other.

    A caller stays at its address until that refuses it or a connection, and
    takes the next one then; ``lasts`` is the range of the streams' lengths,
    s. Each request has ``fields``, and is a row, (host, route, length, rid,
    sent, ended, Answer).
    """

    def __init__(self, hosts, callers, lasts, seed, fields=()):
        self.hosts = hosts
        self.lasts = lasts
        self.fields = fields
        self.rows = []
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
        ips = collections.deque(self.hosts.ips)
        ips.rotate(number)
        caller, count = None, 0
        while not self._ending.wait(rng.uniform(0.0, MAX_PAUSE_S)):
            count += 1
            length_s = rng.uniform(*self.lasts)
            route = rng.choice(("stream", "stream", "stream", "unsafe"))
            try:
                caller = caller or processes.Caller(ips[0])
            except OSError:
                ips.rotate(-1)
                continue
            answer = self._ask(caller, ips[0], route, length_s,
                               f"{number}-{count}")
            if answer.closes or not answer.is_whole:
                caller.close()
                caller = None
            if answer.is_refusal():
                self._ending.wait(answer.retry_after_s)
                ips.rotate(-1)
        if caller is not None:
            caller.close()

    def _ask(self, caller, ip, route, length_s, rid):
        work = {"first_s": length_s}
        if route == "stream":
            work = {"events": 11, "gap_s": length_s / 10}
        answer, sent_at = processes.Answer(), time.monotonic()
        try:
            caller.send(rid, work, route, self.fields)
            sent_at = time.monotonic()
            answer = caller.read()
        except OSError:
            pass
        self.rows.append((ip, route, length_s, rid, sent_at,
                          time.monotonic(), answer))
        return answer


def count(hosts, rows):
    """Return a Counter of what became of requests around stops.

    ``lost`` are those that a caller would call lost; ``excused`` would be
    if their servers hadn't been at work for too long, ``crossed`` met the
    close of their connection, and ``refused_early`` would have ended in
    time.
    """
    work = collections.defaultdict(dict)
    for at, what, rid in list(hosts.work):
        work[rid][what] = at
    counts = collections.Counter()
    for ip, _, length_s, rid, sent_at, ended_at, answer in rows:
        stopped_at = hosts.stopped_at.get(ip)
        if stopped_at is None or ended_at < stopped_at:
            counts["before"] += 1
        elif answer.is_refusal():
            counts["refused"] += 1
            counts["refused_early"] += (
                ended_at + length_s < stopped_at + EXIT_S)
            counts["run_and_refused"] += rid in work
        elif answer.is_whole:
            counts["whole" if answer.status == 200 else "failed"] += 1
        elif "began" not in work[rid] and ended_at - sent_at <= LOSS_SLACK_S:
            counts["crossed"] += 1
        else:
            left_at = work[rid].get("ended", work[rid].get("left", ended_at))
            is_excused = (left_at > stopped_at + EXCUSED_WORK_S
                          and sent_at <= stopped_at + EXCUSED_SENT_S)
            counts["excused" if is_excused else "lost"] += 1
    return counts
