"""Ways for a host to stop: what each breaks off, refuses and serves.

Plays hosts that are stopped as planned in the emulator, beside streams of 0.5
to 7 s and calls, and clients that keep addresses and connections. Load is in
proportion to the hosts times ``--share``; a few engines with as much more room
serve it, as what a stop costs follows from how long requests take. Prints one
JSON object a way, size and course, the sums over the seeds:

- ``broken``: requests that were read and got no whole answer, ``late`` those
  of them that were read after SIGTERM; ``refused`` counts refusals,
  ``in_vain`` those of requests that took less time at another host than their
  host had left; ``repeated`` and ``unserved`` are requests that two stopping
  hosts refused, or that nobody served after a refusal
- ``on_time``: the share of all requests that was served within the goal;
  ``wait_s`` the median and the maximum of the time to the first event of
  requests that were refused and then served
- ``exit_s``: mean and maximum of the time from SIGTERM to the exit

Run as ``python -m bench.stopping``.
"""

import argparse
import concurrent.futures
import contextlib
import dataclasses
import json
import statistics
import sys
import time
import unittest.mock

from crocuskeel.core.entry import durations
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import stopping
from emulator import clients
from emulator import deployment as deployments
from emulator import hosts as entry_hosts
from emulator import run
from emulator import stops

__all__ = ["main", "measure"]

KINDS = (
    deployments.Kind(
        "long", "stream", 6.0, 0, 300, 900, 60, 260, 1_000.0, 400.0,
        15_000.0, 2.0, 0.2, retries=5, servers=1, spread=0.4),
    deployments.Kind(
        "chat", "stream", 10.0, 0, 300, 900, 60, 40, 1_000.0, 250.0, 8_000.0,
        2.0, 0.2, retries=5, spread=0.4),
    deployments.Kind(
        "call", "unsafe", 8.0, goal_ms=400.0, limit_ms=3_000.0, retries=5))
# Hosts that the rates above are for, and engines and plain servers.
HOSTS = 6
ENGINES = deployments.Engines(count=6, slots=64)
PLAIN = deployments.Plain(count=3, slots=12)
CLIENTS_A_HOST = 7
STOP_AT_S, AWAY_S = 6.0, 0.5
BURST = deployments.Fault("burst", 5.0, 8.0, times=2.0)
# Seconds between two stops of six hosts, of more in proportion, and whether a
# burst begins before the first one.
COURSES = {"1.3 s apart": (1.3, False), "3.5 s apart": (3.5, False),
           "at once": (0.0, False), "1.3 s apart, burst": (1.3, True),
           "3.5 s apart, burst": (3.5, True), "at once, burst": (0.0, True)}


def _refuse_all(host, pending, now):
    """Refuse what came after SIGTERM and hasn't begun."""
    return MUST_REFUSE(host, pending, now) or (
        host.stop_at is not None and pending.arrived_at >= host.stop_at
        and not pending.may_have_run and pending.fallback is None
        and not ending.active_attempts(pending))


def _mean_expected_s(known, pending):
    samples = known.routes.get(durations._key(pending), ())
    if len(samples) < durations.MIN_SAMPLES:
        return EXPECTED_S(known, pending)
    return (statistics.fmean(each.first_s for each in samples)
            + durations._tokens(pending) * statistics.fmean(
                each.rest_s / each.tokens for each in samples))


def _keep_all(client, connection):
    if client.keeps_connections and _outlives_listener(connection):
        client.idle.append(connection)


def _outlives_listener(connection):
    return (connection.host.core is not None and not connection.is_closing
            and connection.host.boot == connection.boot)


def _close_idle(host, effect):
    host.stopping.listener_closed = True
    for client in host.world.clients:
        client.idle = [each for each in client.idle if each.host is not host]


MUST_REFUSE = stopping.must_refuse
EXPECTED_S = durations.expected_s
WAYS = {
    "former": ((stopping, "must_refuse", lambda *args: False),
               (stops, "ends_keep_alive",
                lambda host: not stops.accepts(host)),
               (clients.Connection, "is_open", _outlives_listener),
               (clients.Client, "release", _keep_all)),
    "refuse what would outlast": (),
    "refuse all": ((stopping, "must_refuse", _refuse_all),),
    "expect the mean": ((durations, "expected_s", _mean_expected_s),)}


@contextlib.contextmanager
def _way(name):
    with contextlib.ExitStack() as stack:
        for module, constant, value in WAYS[name]:
            stack.enter_context(unittest.mock.patch.object(
                module, constant, value))
        if name == "former":
            stack.enter_context(unittest.mock.patch.dict(
                entry_hosts.EFFECT_HANDLERS,
                {effects.CloseListener: _close_idle}))
        yield


def _deployment(hosts, course, share):
    apart_s, is_burst = COURSES[course]
    factor = hosts / HOSTS * share
    fault = deployments.Fault("stop", STOP_AT_S, AWAY_S, hosts,
                              apart_s * HOSTS / hosts)
    return deployments.Deployment(
        name="stopping", hosts=hosts, way_ms=1.0,
        seconds=STOP_AT_S + max(9.0, HOSTS * apart_s + 3.0),
        plain=dataclasses.replace(
            PLAIN, slots=max(1, round(PLAIN.slots * factor))),
        engines=dataclasses.replace(
            ENGINES, slots=round(ENGINES.slots * factor),
            memory=round(ENGINES.memory * factor),
            read_tokens_s=ENGINES.read_tokens_s * factor,
            chunk=round(ENGINES.chunk * factor),
            running_ms=ENGINES.running_ms / factor),
        kinds=tuple(dataclasses.replace(
            kind, a_second=kind.a_second * factor) for kind in KINDS),
        faults=(fault, BURST) if is_burst else (fault,),
        clients=CLIENTS_A_HOST * hosts, keeps_addresses=0.2,
        keeps_connections=0.4)


def measure(way, hosts, course, share, seeds):
    """Return the figures of a way, summed over seeds."""
    began = time.process_time()
    with _way(way):
        tallies = [run.played(_deployment(hosts, course, share), seed).tally
                   for seed in range(seeds)]
    found = [tally.stops for tally in tallies]
    outcomes = [tally.outcomes for tally in tallies]
    total = sum(sum(each.values()) for each in outcomes)
    waits = sorted(wait for each in found for wait in each.waits) or [0.0]
    spans = [span for each in found for span in each.spans]
    return {
        "way": way, "hosts": hosts, "course": course, "seeds": seeds,
        "requests": total, "stops": len(spans),
        "broken": sum(each.broken for each in found),
        "late": sum(each.broken_late for each in found),
        "refused": sum(each.refused for each in found),
        "in_vain": sum(each.refused_in_vain for each in found),
        "repeated": sum(each.repeated for each in found),
        "unserved": sum(each.unserved for each in found),
        "on_time": round(sum(
            each["on time"] for each in outcomes) / total, 4),
        "wait_s": [round(statistics.median(waits), 2), round(waits[-1], 2)],
        "exit_s": [round(statistics.fmean(spans), 2), round(max(spans), 2)],
        "run_cpu_s": round(time.process_time() - began, 1)}


def main(argv=None):
    """Print the figures of each way, size and course."""
    parser = argparse.ArgumentParser(prog="python -m bench.stopping")
    parser.add_argument("--hosts", type=int, nargs="+", default=(6, 470))
    parser.add_argument("--share", type=float, default=1.0,
                        help="of the load, in proportion to the hosts")
    parser.add_argument("--courses", nargs="+", default=tuple(COURSES),
                        choices=COURSES)
    parser.add_argument("--ways", nargs="+", default=tuple(WAYS), choices=WAYS)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args(argv)
    jobs = [(way, hosts, course, args.share, args.seeds)
            for hosts in args.hosts for course in args.courses
            for way in args.ways]
    with concurrent.futures.ProcessPoolExecutor(max(1, args.jobs)) as pool:
        for row in pool.map(measure, *zip(*jobs)):
            print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
