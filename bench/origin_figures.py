"""Figures of streams that go on at the version that began them, by ways.

Simulates hosts with engines of two software versions, whose callers lose
connections and whose hosts are killed, with several ways by which a host that
goes on with a stream learns where it began. Prints one JSON object per run:
way, case, hosts, streams of two versions, streams taken up and the share of
these that went on, messages between hosts for it, goodput. Then the cost of
the way in use: time and bytes of a message at 6 to 470 hosts.

Run as ``python -m bench.origin_figures``.
"""

import contextlib
import json
import timeit
from unittest import mock

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import lookups
from crocuskeel.core.entry import model
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import stream_records
from crocuskeel.gateway import gossip
from emulator import deployment as deployments
from emulator import hosts as emulated
from emulator import run
from tests.entry import streams

SEEDS = range(3)
# Hosts, and the rate of streams: larger fleets serve more.
SIZES = ((6, 14.0), (30, 60.0))
MESSAGES = (events.OriginsTold, events.OriginAsked, events.OriginUnknown)
KEPT_S = 9.0
REQUESTS_S = 14_000


def _fault(kind, at, for_s=3.0, count=1, times=1.0):
    return deployments.Fault(kind, at, for_s, count, times)


def _cases(hosts):
    two = (_fault("add_version", 0.0, count=hosts // 2, times=0.0),
           _fault("drain_version", 0.0, count=hosts // 2, times=0.0))
    breaks = _fault("break", 0.5, 20.0, times=0.4)
    return {
        "two versions": (*two, breaks),
        "a third of the hosts killed": (*two, breaks, *(
            _fault("kill", at, 1.0, hosts // 3)
            for at in (3.0, 6.0, 9.0, 12.0))),
        "all but one killed": (*two, breaks, *(
            _fault("kill", at, 1.5, hosts - 1) for at in (4.0, 8.0, 12.0))),
        "all killed": (*two, *(
            _fault("kill", at, 0.5, hosts) for at in (4.0, 8.0, 12.0))),
        "a rollout": (breaks, _fault("add_version", 2.0, count=hosts,
                                     times=9.0 / hosts),
                      _fault("drain_version", 2.5, count=hosts,
                             times=9.0 / hosts)),
    }


def _no_binding(host, pending, now):
    """Let any server go on with a stream that a caller takes up."""
    return lookups.Finding.READY, []


def _version_of_key(host, pending, now):
    """Return the version that a hash of the stream's key gives.

    Versions are weighted by their servers, as rendezvous hashing does.
    """
    key = origins.taken_up_key(pending) or origins.stream_key(
        pending.workspace, pending.request.rid)
    counts = {}
    for state in host.by_service.get(pending.service, ()):
        if not state.server.draining:
            version = state.server.version
            counts[version] = counts.get(version, 0) + 1
    return max(counts, default=None, key=lambda version: (
        routing.unit_hash(key, version) ** (1 / counts[version])))


def _by_function(host, pending, now):
    """Bind each stream to the version that its key gives."""
    version = _version_of_key(host, pending, now)
    if pending.origin is None and version is not None and (
            pending.route.resumable):
        pending.origin = model.Origin(pending.service, version)
    return lookups.Finding.READY, []


def _told(count, asked):
    return ((origins, "KEEPERS", count), (lookups, "ASKED", asked))


WAYS = {
    "as before": (
        (lookups, "resolve", _no_binding),
        (origins, "note_opened", lambda *_: []),
        (states.RequestState, "may_go_to", lambda *_: True)),
    "within an answer": ((lookups, "resolve", _no_binding), *_told(0, 0)),
    "function of the key": ((lookups, "resolve", _by_function),
                            *_told(0, 0)),
    "asked, nobody told": _told(0, 8),
    "one told, 8 asked": _told(1, 8),
    "3 told, 8 asked": _told(3, 8),
    "5 told, nobody asked": _told(5, 0),
    "5 told, 8 asked": (),
}


def _simulate(way, hosts, rate, faults, seed):
    kind = deployments.Kind(
        "chat", "stream", rate, 0, 300, 900, 60, 24, 1_000.0, 250.0,
        8_000.0, 2.0, 0.2, resumes=1)
    deployment = deployments.Deployment(
        name="versions", hosts=hosts, seconds=16.0, way_ms=1.0,
        plain=deployments.Plain(count=1), kinds=(kind, ), faults=faults,
        engines=deployments.Engines(count=hosts, slots=64))
    sent = []
    send = emulated.EFFECT_HANDLERS[effects.SendToPeer]

    def count_message(host, effect):
        if isinstance(effect.event, MESSAGES):
            sent.append(effect)
        send(host, effect)

    with contextlib.ExitStack() as stack:
        for target, name, value in WAYS[way]:
            stack.enter_context(mock.patch.object(target, name, value))
        stack.enter_context(mock.patch.dict(
            emulated.EFFECT_HANDLERS, {effects.SendToPeer: count_message}))
        return run.played(deployment, seed), len(sent)


def _compare():
    for hosts, rate in SIZES:
        for case, faults in _cases(hosts).items():
            for way in WAYS:
                mixed = taken_up = went_on = total = messages = 0
                goodput = 0.0
                for seed in SEEDS:
                    world, sent = _simulate(way, hosts, rate, faults, seed)
                    messages += sent
                    total += len(world.streams)
                    mixed += sum(len(caller.versions) > 1
                                 for caller in world.streams)
                    rows = [row for caller in world.streams
                            for row in caller.went_on]
                    taken_up += len(rows)
                    went_on += sum(rows)
                    goodput += world.tally.result().goodput / len(SEEDS)
                print(json.dumps({
                    "hosts": hosts, "case": case, "way": way,
                    "streams": total, "mixed": mixed, "taken up": taken_up,
                    "went on": round(went_on / max(1, taken_up), 2),
                    "messages": messages, "goodput": round(goodput, 3)}))


def _cost(hosts):
    """Print the cost of telling where one stream began."""
    driver = streams.Driver(peers=[f"h{n}" for n in range(hosts)])
    record = stream_records.Record(
        model.Origin("engines", "v1"), driver.now + KEPT_S, is_own=True)
    keys = [origins.stream_key("hire", f"r{n}") for n in range(500)]

    def tell():
        for key in keys:
            origins._tell_keepers(driver.host, {key: record}, driver.now)

    told = origins._tell_keepers(driver.host, {keys[0]: record}, driver.now)
    size = len(gossip.encode(told[0].event))
    rate = REQUESTS_S / 470
    print(json.dumps({
        "hosts": hosts, "told": len(told), "bytes": size,
        "us": round(timeit.timeit(tell, number=3) / 3 / len(keys) * 1e6, 1),
        "messages a second at 30 streams a second": rate * len(told),
        "kB a second": round(rate * len(told) * size / 1e3, 1),
        "records": round(rate * (1 + len(told)) * KEPT_S)}))


def main():
    """Print the figures."""
    _compare()
    for hosts in (6, 60, 470):
        _cost(hosts)


if __name__ == "__main__":
    main()
