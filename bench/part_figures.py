"""Figures of prompt parts that crash engines, by ways to find the part.

Simulates hosts, engines and callers, a part of whose prompts crashes each
engine, and prints one JSON object per run: way, case, hosts, crashes, requests
with the part that reached engines later than 3 s after the fifth crash, the
share of others that began from 6 s after it, how many of these were refused
as quarantined, and the rows and bytes on parts that a host sends a second.
Then the cost of the way in use: time and memory a request, time of an
attribution, bytes of a loss.

Run as ``python -m bench.part_figures``, with ``--large`` for 470 hosts.
"""

import argparse
import contextlib
import json
import sys
import timeit
from unittest import mock

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_reports
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prompt_parts
from crocuskeel.core import part_causes
from emulator import deployment as deployments
from emulator import hosts as emulated
from emulator import run
import msgpack

SEEDS = range(3)
FIRST_AT = 4.0
SECONDS = 20.0
KNOWN_S = 3.0
SETTLED_S = 6.0
FIFTH = 4
# Hosts, engines and streams a second.
SIZES = ((6, 6, 10.0), (30, 15, 40.0))
LARGE = (470, 60, 120.0)
COUNT_TO_BLAME = 5
KINDS = frozenset(map(str, crash_reports.PART_KINDS))


def _fault(kind, at=FIRST_AT, count=1, times=3.3, for_s=16.0):
    return deployments.Fault(kind, at, for_s, count, times)


CASES = {
    "one part": (_fault("bad_part"),),
    "a part always beside it": (_fault("bad_part_pair"),),
    "eight senders": (_fault("bad_part", count=8),),
    "four parts": tuple(_fault("bad_part", FIRST_AT + delay)
                        for delay in (0.0, 0.5, 1.0, 1.5)),
    "other crashes": (_fault("bad_part"), *(
        deployments.Fault("crash", at) for at in (4.5, 6.0, 8.0, 10.0))),
    "no bad part, a third of the engines crash": tuple(
        deployments.Fault("crash", at, count=2) for at in (4, 7, 10, 13)),
}


def _by_count(crashes, is_known_sound):
    """Blame each part that was in so many crashes, whatever was answered."""
    rows = part_causes._rows_by_part(crashes)
    return tuple(
        part_causes.Cause(frozenset([part]), frozenset(keys),
                          max(crashes[key].at for key in keys), 1)
        for part, keys in rows.items() if len(keys) >= COUNT_TO_BLAME)


def _by_ratio(crashes, is_known_sound):
    """Blame parts by crashes against answers alone.

    Each part is judged for itself, by its events since its latest answer.
    """
    rows = part_causes._rows_by_part(crashes)
    return tuple(
        part_causes.Cause(frozenset([part]), frozenset(keys),
                          max(crashes[key].at for key in keys), 1)
        for part, keys in rows.items()
        if part_causes._score(keys, crashes, is_known_sound(part)) >= 1)


def _replaced(way):
    return mock.patch.object(part_causes, "attribute", way)


WAYS = {
    "dated answers, explained crashes": contextlib.nullcontext,
    "a score by part": lambda: _replaced(_by_ratio),
    "count of crashes": lambda: _replaced(_by_count),
    "requests only": lambda: _replaced(lambda crashes, is_known_sound: ()),
}


class _Sent:
    """Counts the rows on parts that hosts send, and their bytes."""

    def __init__(self):
        self.rows = 0
        self.bytes = 0
        self.send = emulated.EFFECT_HANDLERS[effects.SendToPeer]

    def __call__(self, host, effect):
        event = effect.event
        rows = ()
        if isinstance(event, events.CrashReportsReceived):
            rows = event.reports
        elif isinstance(event, events.PeerStateReceived):
            rows = event.crash_reports or ()
        found = [row for row in rows if row[0] in KINDS]
        self.rows += len(found)
        self.bytes += sum(len(msgpack.packb(row)) for row in found)
        self.send(host, effect)


def _simulate(way, case, size, seed):
    hosts, engines, rate = size
    kind = deployments.Kind("chat", "stream", rate, 0, 300, 900, 20, 20,
                            1_000.0, 250.0, 6_000.0, 2.0, 0.2)
    sent = _Sent()
    with WAYS[way](), mock.patch.dict(
            emulated.EFFECT_HANDLERS, {effects.SendToPeer: sent}):
        world = run.played(deployments.Deployment(
            name="parts", hosts=hosts, seconds=SECONDS, way_ms=1.0,
            plain=deployments.Plain(count=1), kinds=(kind,),
            faults=CASES[case],
            engines=deployments.Engines(count=engines, slots=32)), seed)
    print(json.dumps({"way": way, "case": case, "hosts": hosts, "seed": seed,
                      **_outcome(world),
                      "rows_a_host_s": round(sent.rows / hosts / SECONDS, 2),
                      "bytes_a_host_s": round(sent.bytes / hosts / SECONDS)}),
          flush=True)


def _outcome(world):
    late = crashes = 0
    fifth_at = FIRST_AT
    for part, rows in world.part_crashes.items():
        crashes += len(rows)
        if len(rows) > FIFTH:
            fifth_at = max(fifth_at, rows[FIFTH][0])
            late = max(late, sum(at > rows[FIFTH][0] + KNOWN_S for at, _
                                 in world.part_arrivals[part]))
    began = world.tally.began
    sound = [caller for caller in world.streams if not caller.bad_part
             and caller.at > began + fifth_at + SETTLED_S]
    begun = sum(caller.begun_rid == f"{caller.rid}-1" for caller in sound)
    return {"crashes": crashes, "late": late, "sound": len(sound),
            "begun": round(begun / max(1, len(sound)), 2)}


def _costs():
    """Return the cost of the way in use."""
    parts = tuple((f"{number:08x}", 400) for number in range(4))
    prompt = model.Prompt(parts, 1_600, 80, "m")
    world = run.World(deployments.Deployment(
        "cost", 1, 1.0, 1.0, deployments.Engines(), deployments.Plain(),
        (), ()), 1)
    world.hosts["h0"].start()
    host = world.hosts["h0"].core
    keys = prompt_parts.keys_of("engines", prompt)
    loss = records.Report(records.Kind.LOST, 1.0, "0123456789abcdef.tenant",
                          "i-0123456789", "i-0123456789/None", parts=keys)
    crashes = {f"i{number}": part_causes.Crash(float(number), tuple(
        part_causes.Lost(f"d{number}-{each}", frozenset(
            (f"p{number}-{each}", f"a{each}", "x"))) for each in range(6)))
        for number in range(256)}
    rounds = 20_000
    return {
        "keys_of_us": _us(lambda: prompt_parts.keys_of("engines", prompt),
                          rounds),
        "note_sound_us": _us(
            lambda: prompt_parts.note_sound(host, keys, 1.0), rounds),
        "attribute_256_crashes_ms": _us(
            lambda: part_causes.attribute(
                crashes, lambda part: part == "a1"), 5) / 1e3,
        "attribute_5_crashes_us": _us(
            lambda: part_causes.attribute(
                dict(list(crashes.items())[:5]), lambda part: False), 500),
        "causes_cached_us": _us(
            lambda: crash_attribution.causes(host), rounds),
        "bytes_of_parts_with_a_loss": sum(
            len(msgpack.packb(row)) for row
            in crash_reports.rows((loss,), 2.0)[1:]),
        "sound_kb_at_most": round(prompt_parts.MAX_SOUND * (
            sys.getsizeof(keys[0]) + sys.getsizeof(1.0) + 100) / 1e3),
    }


def _us(function, rounds):
    return round(timeit.timeit(function, number=rounds) / rounds * 1e6, 2)


def main(argv=None):
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--large", action="store_true",
                        help="470 hosts, one seed, two ways and cases")
    args = parser.parse_args(argv)
    if args.large:
        for way in list(WAYS)[:2]:
            for case in ("one part", "eight senders"):
                _simulate(way, case, LARGE, 0)
        return
    for size in SIZES:
        for case in CASES:
            for way in WAYS:
                for seed in SEEDS:
                    _simulate(way, case, size, seed)
    print(json.dumps(_costs()))


if __name__ == "__main__":
    main()
