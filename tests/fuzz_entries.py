"""Odd entries, datagrams and headers through the real decoders, by hand.

What a decoder takes is fed to a host, which then ticks, serves requests and
encodes what it sends: an error in any of these is printed once with its
place and an example. Run it with

    python -m tests.fuzz_entries --seed 40 --seconds 60
"""

import argparse
import collections
import copy
import json
import random
import sys
import time
import traceback

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import record_events
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel import decoding
from crocuskeel.gateway import connections
from crocuskeel.gateway import gossip
from crocuskeel.gateway import header_codec
from crocuskeel.platform import catalogs
from crocuskeel.platform import duties as platform_duties
from crocuskeel.platform import exceptions
from crocuskeel.platform import headers
from crocuskeel.platform import objects
from crocuskeel.platform import stored_crashes
from crocuskeel.platform import stream_records
import h11
import msgpack
from tests.duties import test_odd_leases
from tests.entry import support
from tests.gateway import test_datagrams
from tests import odd_forms

CODEC = headers.new_header_codec()
REFUSED = (exceptions.InvalidObjectError, stream_records._INVALID, ValueError)
ROUTE = {"Name": "r", "Host": "h", "Prefix": "/a/", "Kind": "safe",
         "TimeoutMs": 900, "GoalMs": 400, "Attempts": 2, "Priority": 1,
         "Public": False, "Resumable": False, "GapAimMs": 300,
         "Split": [{"Service": "plain", "Weight": 3},
                   {"Service": "engines", "Weight": 1}]}
CONFIG = {"Meta": {"Name": "main", "Rev": 50}, "Spec": {
    "Version": 50,
    "Routes": [ROUTE, {**ROUTE, "Name": "s", "Prefix": "/s/", "Split": None,
                       "Kind": "stream", "Service": "engines"}],
    "Services": [
        {"Name": "plain", "MaxConns": 9, "HealthPath": "/health"},
        {"Name": "engines", "MaxConns": 9, "Engine": {
            "Slots": 8, "KvTokens": 90_000, "KvBytes": 9, "LinkMbps": 9},
         "Autoscale": {"Min": 1, "Max": 4, "BootTimeoutS": 2.0,
                       "SpotPrice": .2, "ZonePrices": {"perth-a": 1.0}}}],
    "Tenants": [{"Name": "hire", "Priority": 2, "ApiKeys": ["key-1"]}],
    "Limits": {"MaxHeaderBytes": 9000, "MaxBodyBytes": 9000,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 9000}}}
SERVER = {"Meta": {"Name": "i-2", "Rev": 4}, "Spec": {
    "Service": "engines", "Addr": "10.0.0.9:80", "Zone": "perth-a",
    "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 100,
    "Seq": 1, "born": 5, "Spot": True}}
HOST = {"Meta": {"Name": "h1"}, "Spec": {
    "Zone": "perth-a", "Front": "10.0.0.2:80", "Control": ["10.0.0.2", 81],
    "Gossip": ["10.0.0.2", 82], "Cores": 1.0, "Records": True}}
VERSIONS = {"Meta": {"Name": "engines", "Rev": 5}, "Spec": {
    "Versions": ["v1", "v2"], "LifeS": 16.0, "Complete": True, "Era": 0,
    "Default": "v1"}}
SEGMENT = {"Meta": {"Name": "h1.1.1", "Rev": 5}, "Spec": {"Origins": [
    {"Service": "engines", "Version": "v1", "Keys": "AAECAwQFBgc="}]}}
CRASHES = {"Meta": {"Name": "main", "Rev": 5}, "Spec": {"Crashes": [
    {"Digest": "d", "Server": "e1/5", "Sign": "refused",
     "AtMs": 1_000_000_000_000, "Parts": ["p"]}]}}
LEASE = {"Meta": {"Name": "duties", "Rev": 7}, "Spec": test_odd_leases.LEASE}
HEADS = {"X-Crocuskeel-Deadline-Ms": "900", "Last-Event-Id": "4",
         "X-Crocuskeel-Token-Count": "900,20", "Resumes": "r0",
         "X-Crocuskeel-Prefix-Hash": "ab:500,cd:400",
         "X-Crocuskeel-Model": "m", "Authorization": "Bearer key-1",
         "X-Crocuskeel-Request-Id": "r1",
         "X-Crocuskeel-Relay-Servers": "1",
         "X-Crocuskeel-Relay-Origin": "engines/v1",
         "X-Crocuskeel-Server-Load": "1,2,8,100", "Server-Limit": "9.5",
         "Retry-After": "0.5", "Server-Leaving": "1", "Server-Brittle": "1",
         "X-Crocuskeel-Server-Stamp": "x"}
NUMBERS = (0, -1, 1, 0.5, -0.0, 2 ** 31, 2 ** 53, -2 ** 53, 2 ** 63 - 1,
           -2 ** 63, 10 ** 18, 1e-300, 1e15, 1e18, 1e308, 65535, 4096)
HEADER_VALUES = (*map(str, NUMBERS), "1e400", "nan", "inf", "-inf", "9" * 9,
                 odd_forms.DIGITS, "\u00b2", "1_0", "", " ", ",", ":", "x",
                 "1,2,3,0", "0,0,0,0", "a:9," * 900)


class _Host(support.Driver):
    """A host that carries out what can fail: encoding what it sends."""

    def __init__(self):
        self.sent = []
        super().__init__(
            support.route(), support.stream(),
            servers=[support.server("i-1"),
                     support.server("e1", "engines")],
            duties=frozenset({"usage", "scale"}))
        self.feed(events.PeersListed((support.peer("h1"),)))
        self.feed(events.Ticked(1e9))

    def _check_liveness(self):
        """Requests of odd routes may end at once."""

    def feed(self, event, after=0.0):
        out = super().feed(event, after)
        for effect in out:
            match effect:
                case effects.SendToPeer():
                    gossip.decode(gossip.encode(effect.event))
                case effects.LogEvent():
                    json.dumps(effect.fields)
                case effects.SendRequest():
                    self.sent.append(effect)
                    _encode_request(effect)
                case lease_effects.ReadLease():
                    self.feed(platform_duties._lease_event(
                        self.lease[0], self.lease[1]))
        return out

    lease = (0, None)

    def exercise(self, rng):
        """Serve requests of all routes, answer some of them, and tick."""
        key = 0
        catalog = self.host.catalog
        for route in [row for rows in catalog.routes.values()
                      for row in rows]:
            for prompt in (None, support.prompt()):
                key += 1
                self.feed(events.RequestReceived(key, model.Request(
                    f"r{key}", "POST", route.host, route.prefix + "1",
                    support.KEY, rng.choice((None, 0.0, 3.0)), prompt,
                    f"d{key}")))
        for number, send in enumerate(self.sent[:6]):
            if number % 3:
                self.feed(events.AttemptFailed(
                    send.key, send.attempt_number,
                    rng.choice(list(model.Outcome)), "x"))
            else:
                self.feed(events.ResponseReceived(
                    send.key, send.attempt_number, 200, (1, 2, 8, 100), True))
        for number in range(8):
            self.feed(events.Ticked(1e9 + number), 0.4)
            for key, at in list(self.timers.items()):
                if at <= self.now:
                    self.feed(events.LoadsDue() if key == support.LOADS
                              else events.TimerFired(key))


def _encode_request(send):
    head = header_codec.Head((), b"POST", b"/a/1")
    fields = [(b"Host", b"h"), *CODEC.server_headers(head, send, None)]
    connections.encode(h11.Connection(h11.CLIENT), b"POST", b"/a/1", fields,
                       b"")


def _paths(value, path=()):
    yield path
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _paths(part, (*path, name))
    elif isinstance(value, (list, tuple)):
        for number, part in enumerate(value):
            yield from _paths(part, (*path, number))


def _mutated(value, rng):
    """Return JSON of a value with one to three odd parts."""
    texts = [copy.deepcopy(value)]
    marks = {}
    for number in range(rng.choice((1, 1, 1, 2, 3))):
        mark = f"\u2205{number}"
        marks[json.dumps(mark)] = rng.choice(
            (rng.choice(odd_forms.FORMS), json.dumps(rng.choice(NUMBERS)),
             rng.choice(odd_forms.BRIEF)))
        found = [path for path in _paths(texts[0]) if path[1:]]
        parent = texts[0]
        *path, last = rng.choice(found)
        for name in path:
            parent = parent[name]
        if rng.random() < 0.1 and isinstance(parent, dict):
            del parent[last]
        else:
            parent[last] = mark
    text = json.dumps(texts[0])
    for mark, form in marks.items():
        text = text.replace(mark, form)
    return text


def _config(text, host):
    catalog = catalogs.catalog(decoding.loads(text.encode()))
    host.feed(events.CatalogRead(catalog))


def _server(text, host):
    obj = objects.trimmed_server(decoding.loads(text.encode()))
    objects.server(obj)
    found = objects.server(objects.server_record(obj))
    host.feed(events.ServersChanged((found, ), (), 9, (), None))


def _host(text, host):
    found = objects.peer(decoding.loads(text.encode()))
    host.feed(events.PeersListed((found, )))


def _versions(text, host):
    obj = decoding.loads(text.encode())
    record = stream_records._decode_versions(
        obj, objects.name(obj), 0, stream_records._revision(obj, 0))
    host.feed(record_events.VersionsRead((record, )))


def _segment(text, host):
    obj = decoding.loads(text.encode())
    segment = stream_records._decode_segment(objects.name(obj), obj, 0)
    host.feed(record_events.SegmentsRead((segment, ), ()))


def _crashes(text, host):
    rows, _ = stored_crashes.decode(decoding.loads(text.encode()))
    host.feed(record_events.CrashesRead(rows, 5))


def _lease(text, host):
    host.lease = (7, decoding.loads(text.encode()))
    host.host.duties.begun_at = -1e3


OBJECTS = {"config": (CONFIG, _config), "server": (SERVER, _server),
           "host": (HOST, _host), "versions": (VERSIONS, _versions),
           "segment": (SEGMENT, _segment), "crashes": (CRASHES, _crashes),
           "lease": (LEASE, _lease)}


def _datagram(rng):
    event = rng.choice(test_datagrams.EVENTS)
    fields = msgpack.unpackb(gossip.encode(event))
    values = [*NUMBERS[:10], *test_datagrams.VALUES, "e1", "e1/None", "me"]
    for _ in range(rng.choice((1, 1, 2, 3))):
        *path, last = rng.choice([p for p in _paths(fields) if p])
        parent = fields
        for name in path:
            parent = parent[name]
        if isinstance(parent, list):
            parent[last] = rng.choice(values)
            break
    deep = []
    for _ in range(rng.choice((0, 0, 50, 400, 500))):
        deep = [deep]
    data = msgpack.packb(fields)
    if rng.random() < 0.1:
        data = msgpack.packb([*fields[:2], deep])
    if rng.random() < 0.1:
        data = bytearray(data)
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


def _heads(rng, host):
    rows = {name: value for name, value in HEADS.items()
            if rng.random() < 0.7}
    for name in rng.sample(list(HEADS), 2):
        rows[name] = rng.choice(HEADER_VALUES)
    fields = tuple((name.encode(), value.encode("latin-1"))
                   for name, value in {"Host": "h", **rows}.items())
    request = CODEC.read_request(header_codec.Head(
        (*fields, (b"Host", support.HOST.encode())), b"POST",
        b"/advice/1"), b"")
    host.feed(events.RequestReceived(1, request))
    for send in host.sent[:2]:
        head = header_codec.Head(fields, status=rng.choice((200, 503)))
        host.feed(events.HintsReceived(
            send.key, send.attempt_number, CODEC.hints(head)))
        host.feed(events.ResponseReceived(
            send.key, send.attempt_number, head.status, CODEC.load(head),
            True))


def _run_one(rng):
    """Return (kind, its text) of one odd value, which a host handles."""
    kind = rng.choice([*OBJECTS, "config", "datagram", "heads"])
    example = ""
    try:
        host = _Host()
        if kind == "datagram":
            example = data = _datagram(rng)
            try:
                event = gossip.decode(data)
            except ValueError:
                return kind, "refused", None, ""
            host.feed(event)
        elif kind == "heads":
            try:
                _heads(rng, host)
            except ValueError:
                return kind, "refused", None, ""
        else:
            value, handle = OBJECTS[kind]
            example = _mutated(value, rng)
            try:
                handle(example, host)
            except exceptions.InvalidObjectError:
                return kind, "refused", None, ""
            except (ValueError, TypeError, KeyError, AttributeError):
                if kind not in ("versions", "segment"):
                    raise
                return kind, "refused", None, ""
        host.exercise(rng)
    except Exception as exc:
        frames = traceback.extract_tb(exc.__traceback__)
        place = " < ".join(f"{frame.filename.rpartition('/')[2]}:{frame.name}"
                           for frame in frames[:-4:-1])
        return kind, "failed", f"{type(exc).__name__} {place}", example
    return kind, "held", None, ""


def main():
    """Run until the time is over; return whether anything failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    rng = random.Random(args.seed)
    ends_at = time.monotonic() + args.seconds
    counts = collections.Counter()
    failures = collections.Counter()
    examples = {}
    while time.monotonic() < ends_at:
        kind, result, why, example = _run_one(rng)
        counts[kind, result] += 1
        if why:
            failures[kind, why] += 1
            old = examples.get((kind, why))
            if old is None or len(example) < len(old):
                examples[kind, why] = example
    for (kind, result), count in sorted(counts.items()):
        print(f"{kind:10} {result:8} {count}")
    for (kind, why), count in failures.most_common():
        print(f"{count} {kind}: {why}\n    {examples[kind, why][:2000]!a}")
    return bool(failures)


if __name__ == "__main__":
    sys.exit(main())
