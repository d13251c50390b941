"""A fake Object API and host list that can fail or lose answers.

Conditional updates, versions and watches work as in the platform: a write
names the version that it replaces and is rejected for any other.
"""

import collections
import dataclasses
import json
import random
import typing
import urllib.parse

from twisted.internet import defer

from bench.policy import clock as clocks
from crocuskeel.objectapi import exceptions
from crocuskeel.objectapi import results

__all__ = ["DOWN", "HEALTHY", "LOSSY", "Store", "new_store", "put",
           "sender", "set_mode"]

HEALTHY = "well"
LOSSY = "lossy"
DOWN = "down"
ONE_WAY_LATENCY_S = 0.002
MAX_LATE_S = 2.5
REFUSED_SHARE = 0.4
BUSY_SHARE = 0.3
LOST_SHARE = 0.5
LATE_SHARE = 0.25
_OK, _UNCHANGED, _NOT_FOUND, _CONFLICT, _BUSY = 200, 304, 404, 412, 503
_NO_VERSION = 0


@dataclasses.dataclass(slots=True)
class Store:
    """``objects`` maps a path to (version, body); ``mode`` is the fault.

    ``calls`` counts calls by second of the clock. ``list_hosts()``
    returns the host list's JSON. ``lost_writes`` counts writes that took
    effect while their answer was lost, ``late_writes`` those that took
    effect after their time-out, ``conflicts`` rejected ones.
    """

    clock: clocks.Clock
    rng: random.Random
    list_hosts: typing.Callable
    mode: str = HEALTHY
    objects: dict = dataclasses.field(default_factory=dict)
    watches: list = dataclasses.field(default_factory=list)
    calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    lost_writes: int = 0
    late_writes: int = 0
    conflicts: int = 0


def new_store(clock, rng, list_hosts):
    """Return an empty store without a fault."""
    return Store(clock, rng, list_hosts)


def set_mode(store, mode):
    """Begin or end a fault; an outage breaks the open watches."""
    store.mode = mode
    if mode == DOWN:
        for deferred, _path, _version in store.watches:
            _fail(deferred, exceptions.ResponseLost())
        store.watches.clear()


def put(store, path, body, version):
    """Write if ``version`` is the current one; return an HTTP answer."""
    current = store.objects.get(path, (_NO_VERSION, b""))[0]
    if current != version:
        store.conflicts += 1
        return results.HttpResponse(_CONFLICT, {}, b"")
    store.objects[path] = (current + 1, body)
    for watch in [watch for watch in store.watches if watch[1] == path]:
        store.watches.remove(watch)
        clocks.call_later(store.clock, ONE_WAY_LATENCY_S, _answer, watch[0],
                          _read(store, path))
    return _with_etag(current + 1, b"")


def sender(store):
    """Return the client's ``send`` function, see ``objectapi.new_client``."""

    def send(method, url, headers, data, timeout):
        store.calls[int(store.clock.now)] += 1
        deferred = defer.Deferred()
        clocks.call_later(
            store.clock, ONE_WAY_LATENCY_S, _handle_call, store, deferred,
            method, url, headers, data)
        return deferred

    return send


def _handle_call(store, deferred, method, url, headers, data):
    parts = urllib.parse.urlsplit(url)
    path = urllib.parse.unquote(parts.path).removeprefix("/objects/")
    if method == "PUT":
        _write(store, deferred, path, data, _expected_version(headers))
    elif store.mode == DOWN:
        _fail_call(store, deferred)
    elif path == "/hosts":
        body = json.dumps(store.list_hosts()).encode()
        _answer_later(store, deferred, results.HttpResponse(_OK, {}, body))
    elif "watch" in parts.query:
        _watch(store, deferred, path, urllib.parse.parse_qs(parts.query))
    else:
        _answer_later(store, deferred, _read(store, path))


def _expected_version(headers):
    if "If-None-Match" in headers:
        return _NO_VERSION
    return int(headers["If-Match"].strip('"'))


def _write(store, deferred, path, data, version):
    is_lost = store.mode == LOSSY and store.rng.random() < LOST_SHARE
    if store.mode == DOWN:
        kind = _fail_call(store, deferred)
        if kind == "hang" and store.rng.random() < LATE_SHARE:
            _apply_late(store, path, data, version)
    elif is_lost and store.rng.random() < LATE_SHARE:
        _apply_late(store, path, data, version)
    else:
        answer = put(store, path, data, version)
        if is_lost:
            store.lost_writes += answer.status == _OK
        else:
            _answer_later(store, deferred, answer)


def _apply_late(store, path, data, version):
    """Apply a request that arrives after its sender has timed out."""

    def apply():
        answer = put(store, path, data, version)
        store.late_writes += answer.status == _OK

    clocks.call_later(store.clock, store.rng.uniform(0.0, MAX_LATE_S), apply)


def _fail_call(store, deferred):
    sample = store.rng.random()
    if sample < REFUSED_SHARE:
        _fail(deferred, exceptions.NotSent())
        return "refused"
    if sample < REFUSED_SHARE + BUSY_SHARE:
        _answer(deferred, results.HttpResponse(_BUSY, {}, b""))
        return "busy"
    return "hang"


def _watch(store, deferred, path, query):
    version = int(query["watch"][0])
    if store.objects.get(path, (_NO_VERSION,))[0] != version:
        _answer_later(store, deferred, _read(store, path))
        return
    watch = (deferred, path, version)
    store.watches.append(watch)
    clocks.call_later(store.clock, float(query["timeout_s"][0]), _expire_watch,
                      store, watch)


def _expire_watch(store, watch):
    if watch in store.watches:
        store.watches.remove(watch)
        _answer(watch[0], _with_etag(watch[2], b"", _UNCHANGED))


def _read(store, path):
    if path not in store.objects:
        return results.HttpResponse(_NOT_FOUND, {}, b"")
    return _with_etag(*store.objects[path])


def _with_etag(version, body, status=_OK):
    return results.HttpResponse(status, {"etag": f'"{version}"'}, body)


def _answer_later(store, deferred, answer):
    clocks.call_later(
        store.clock, ONE_WAY_LATENCY_S, _answer_unless_down, store, deferred,
        answer)


def _answer_unless_down(store, deferred, answer):
    if store.mode != DOWN:
        _answer(deferred, answer)


def _answer(deferred, answer):
    # The client may have timed out in the meantime.
    if not deferred.called:
        deferred.callback(answer)


def _fail(deferred, exc):
    if not deferred.called:
        deferred.errback(exc)
