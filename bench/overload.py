"""Served worth, CPU time and memory of hosts at ten times their capacity.

Plays a deployment of the emulator at several numbers of hosts: with its
load, and with multiples of it, without faults. The load of ``contended``
fills its engines: with 1.25 times as much, four of them complete 5 % more.
Engines, plain servers and load are in proportion to the hosts up to a
number of engines, which bounds how long a run takes. Plain servers are not
full, so their calls add worth at each multiple. Prints one JSON object a run:

- ``worth_s``: worth of the responses that were completed while the load
  lasted, a second; ``stream_worth_s`` the part of it for streams, ``kinds``
  the same by kind of request
- ``cpu_ms``: process CPU time of all hosts' decisions, ms a request that
  callers wanted served, whatever their number of attempts;
  ``request_cpu_ms`` the part of it for events of requests, without ticks
  and messages between hosts
- ``start_mb``, ``peak_mb``: resident memory of the run's process as the load
  begins, and at most: hosts, models and callers that wait
- ``queued_host``, ``queued``, ``open``: requests that wait at a host for
  room, at all hosts, and all that hosts have open; the most of all samples

Run as ``python -m bench.overload``.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import json
import multiprocessing
import resource
import sys
import time

from crocuskeel.core.entry import events
from crocuskeel.programs import config_files
from emulator import deployment as deployments
from emulator import deployment_rules
from emulator import hosts as entry_hosts
from emulator import run
from emulator import tally as tallies

__all__ = ["main", "measure", "queued_requests", "scale"]

HOSTS = (6, 87, 470)
TIMES = (1.0, 10.0)
SECONDS = 60.0
DEPLOYMENT = "contended"
# Bounds on the engines of a run, so that it takes some minutes of one core:
# with 470 hosts and 12 engines, 10 s of ten times the load took 310 s of it.
MAX_ENGINES = 12
MAX_HOSTS_TIMES_ENGINES = 1_500
SAMPLE_S = 0.5
# Ticks, and messages of other hosts.
BACKGROUND_EVENTS = (
    events.Ticked, events.PeerStateReceived, events.PeerLoadsReceived,
    events.LoadsDue)


class _WindowTally(tallies.Tally):
    """A tally of the worth that was earned while the load lasted."""

    def __init__(self, began, clock, seconds):
        super().__init__(began)
        self.clock = clock
        self.ends_at = began + seconds
        self.earned_in_time = {}
        # Waits are not needed, and would count as memory.
        self.first_event_waits = collections.deque(maxlen=0)

    def record_outcome(self, caller):
        """Record the outcome of a caller."""
        super().record_outcome(caller)
        if self.clock.now <= self.ends_at:
            self.earned_in_time = dict(self.earned)


class _CpuMeter:
    """Process CPU seconds of the hosts' reducers since the last reset."""

    def __init__(self):
        self.total_s = self.background_s = 0.0
        self.reduce = entry_hosts.entry.reduce

    def measured(self, host, event, now):
        """Reduce an event, and add its CPU time."""
        began = time.process_time()
        out = self.reduce(host, event, now)
        spent_s = time.process_time() - began
        self.total_s += spent_s
        if isinstance(event, BACKGROUND_EVENTS):
            self.background_s += spent_s
        return out


def scale(deployment, hosts, times, seconds, max_engines):
    """Return a deployment with so many hosts, and a multiple of its load.

    Engines, plain servers and rates are in proportion to hosts, up to
    ``max_engines``; None: up to what a run of some minutes allows.
    """
    if max_engines is None:
        max_engines = min(MAX_ENGINES, MAX_HOSTS_TIMES_ENGINES // hosts)
    engines = max(1, min(max_engines, round(
        deployment.engines.count * hosts / deployment.hosts)))
    factor = engines / deployment.engines.count
    plain = max(1, round(deployment.plain.count * factor))
    return dataclasses.replace(
        deployment, hosts=hosts, seconds=seconds, faults=(),
        engines=dataclasses.replace(deployment.engines, count=engines),
        plain=dataclasses.replace(deployment.plain, count=plain),
        kinds=tuple(dataclasses.replace(
            kind, a_second=kind.a_second * factor * times)
            for kind in deployment.kinds))


def queued_requests(core):
    """Return the number of requests that wait at a host for room."""
    return len(core.held)


def _sample_queues(world, peaks, ends_at):
    cores = [host.core for host in world.hosts.values()]
    queued = [queued_requests(core) for core in cores]
    for name, value in (
            ("queued_host", max(queued)), ("queued", sum(queued)),
            ("open", sum(len(host.pending)
                         for host in world.hosts.values()))):
        peaks[name] = max(peaks[name], value)
    if world.clock.now + SAMPLE_S <= ends_at:
        world.clock.after(SAMPLE_S, _sample_queues, world, peaks, ends_at)


def _drop_records(world):
    """Keep no records of ended requests: they would count as memory."""
    world.streams = collections.deque(maxlen=0)
    world.first_attempts = collections.deque(maxlen=0)
    for server in world.servers.values():
        server.arrivals = collections.deque(maxlen=0)


def measure(deployment, seed=0):
    """Play a deployment for its seconds; return the figures of the run.

    After that it is played on until each request has ended.
    """
    meter = _CpuMeter()
    peaks = dict.fromkeys(("queued_host", "queued", "open"), 0)
    world = run.World(deployment, seed)
    world.tally = tally = _WindowTally(
        world.tally.began, world.clock, deployment.seconds)
    entry_hosts.entry.reduce = meter.measured
    try:
        world.start()
        _drop_records(world)
        meter.total_s = meter.background_s = 0.0
        start_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        world.start_load()
        _sample_queues(world, peaks, tally.ends_at)
        world.clock.run(tally.ends_at)
        background_s = meter.background_s
        world.clock.run(tally.ends_at + max(
            kind.limit_ms for kind in deployment.kinds) / 1e3)
    finally:
        entry_hosts.entry.reduce = meter.reduce
    requests = sum(tally.outcomes.values())
    request_s = meter.total_s - meter.background_s
    worth_s = {kind.name: tally.earned_in_time.get(kind.name, 0.0)
               / deployment.seconds for kind in deployment.kinds}
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "worth_s": round(sum(worth_s.values()), 2),
        "stream_worth_s": round(sum(
            worth_s[kind.name] for kind in deployment.kinds
            if kind.kind == "stream"), 2),
        "kinds": {name: round(worth, 2) for name, worth in worth_s.items()},
        "requests": requests,
        "cpu_ms": round((request_s + background_s) / requests * 1e3, 3),
        "request_cpu_ms": round(request_s / requests * 1e3, 3),
        "start_mb": round(start_kb / 1024), "peak_mb": round(peak_kb / 1024),
        **peaks}


def _run_job(job):
    deployment, times, seed = job
    began = time.process_time()
    figures = measure(deployment, seed)
    return {"hosts": deployment.hosts, "engines": deployment.engines.count,
            "times": times, "seed": seed, **figures,
            "run_cpu_s": round(time.process_time() - began, 1)}


def _parse_args(argv):
    parser = argparse.ArgumentParser(
        prog="python -m bench.overload", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--deployment", default=DEPLOYMENT)
    parser.add_argument("--hosts", type=int, nargs="+", default=HOSTS)
    parser.add_argument("--times", type=float, nargs="+", default=TIMES,
                        help="multiples of the load that fills the engines")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--max-engines", type=int)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--scheduling", metavar="JSON",
                        help="settings of the hosts' scheduling")
    return parser.parse_args(argv)


def main(argv=None):
    """Print the figures of each run."""
    args = _parse_args(argv)
    try:
        deployment = deployment_rules.with_scheduling(
            deployments.read(args.deployment), args.scheduling)
    except config_files.InvalidFileError as exc:
        print(*exc.errors, sep="\n", file=sys.stderr)
        return 2
    jobs = [(scale(deployment, hosts, times, args.seconds, args.max_engines),
             times, args.seed) for hosts in args.hosts for times in args.times]
    # A process a run, and none forked: its peak memory is that of the run.
    with concurrent.futures.ProcessPoolExecutor(
            max(1, args.jobs), mp_context=multiprocessing.get_context("spawn"),
            max_tasks_per_child=1) as pool:
        for row in pool.map(_run_job, jobs):
            print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
