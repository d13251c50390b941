"""A fake Object API and host list that can be away or lose answers.

Conditional updates, versions and watches are as the platform's: a write
names the version that it replaces and is refused for any other.
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

__all__ = ["DOWN", "LOSSY", "Store", "WELL", "new_store", "put", "sender",
           "set_mode"]

WELL = "well"
LOSSY = "lossy"
DOWN = "down"
HALF_CALL_S = 0.002
LATE_S = 2.5
REFUSED_SHARE = 0.4
BUSY_SHARE = 0.3
LOST_SHARE = 0.5
LATE_SHARE = 0.25
_OK, _UNCHANGED, _NOT_FOUND, _CONFLICT, _BUSY = 200, 304, 404, 412, 503
_ANY = 0


@dataclasses.dataclass(slots=True)
class Store:
    """``objects`` maps a path to (version, body); ``mode`` is a fault.

    ``calls`` counts calls by second of the clock. ``list_hosts()``
    returns the host list's JSON. ``lost`` counts writes that took
    effect unheard, ``late`` those that did so after their time-out,
    ``conflicts`` refused ones.
    """

    clock: clocks.Clock
    rng: random.Random
    list_hosts: typing.Callable
    mode: str = WELL
    objects: dict = dataclasses.field(default_factory=dict)
    watches: list = dataclasses.field(default_factory=list)
    calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    lost: int = 0
    late: int = 0
    conflicts: int = 0


def new_store(clock, rng, list_hosts):
    """Return an empty store that is well."""
    return Store(clock, rng, list_hosts)


def set_mode(store, mode):
    """Begin or end a fault; an outage breaks the waiting watches."""
    store.mode = mode
    if mode == DOWN:
        for fut, _path, _version in store.watches:
            _fail(fut, exceptions.AnswerLost())
        store.watches.clear()


def put(store, path, body, version):
    """Write if ``version`` is the object's; return an HTTP answer."""
    known = store.objects.get(path, (_ANY, b""))[0]
    if known != version:
        store.conflicts += 1
        return results.HttpAnswer(_CONFLICT, {}, b"")
    store.objects[path] = (known + 1, body)
    for watch in [each for each in store.watches if each[1] == path]:
        store.watches.remove(watch)
        clocks.at(store.clock, HALF_CALL_S, _answer, watch[0],
                  _read(store, path))
    return _tagged(known + 1, b"")


def sender(store):
    """Return the client's ``send``, see ``objectapi.new_client``."""

    def send(method, url, headers, data, timeout):
        store.calls[int(store.clock.now)] += 1
        fut = defer.Deferred()
        clocks.at(store.clock, HALF_CALL_S, _reached, store, fut, method,
                  url, headers, data)
        return fut

    return send


def _reached(store, fut, method, url, headers, data):
    parts = urllib.parse.urlsplit(url)
    path = urllib.parse.unquote(parts.path).removeprefix("/objects/")
    if method == "PUT":
        _write(store, fut, path, data, _version(headers))
    elif store.mode == DOWN:
        _away(store, fut)
    elif path == "/hosts":
        body = json.dumps(store.list_hosts()).encode()
        _answer_soon(store, fut, results.HttpAnswer(_OK, {}, body))
    elif "watch" in parts.query:
        _watch(store, fut, path, urllib.parse.parse_qs(parts.query))
    else:
        _answer_soon(store, fut, _read(store, path))


def _version(headers):
    if "If-None-Match" in headers:
        return _ANY
    return int(headers["If-Match"].strip('"'))


def _write(store, fut, path, data, version):
    is_lost = store.mode == LOSSY and store.rng.random() < LOST_SHARE
    if store.mode == DOWN:
        kind = _away(store, fut)
        if kind == "hang" and store.rng.random() < LATE_SHARE:
            _land_late(store, path, data, version)
    elif is_lost and store.rng.random() < LATE_SHARE:
        _land_late(store, path, data, version)
    else:
        answer = put(store, path, data, version)
        if is_lost:
            store.lost += answer.status == _OK
        else:
            _answer_soon(store, fut, answer)


def _land_late(store, path, data, version):
    """The request is on its way still; its sender has given up."""

    def land():
        answer = put(store, path, data, version)
        store.late += answer.status == _OK

    clocks.at(store.clock, store.rng.uniform(0.0, LATE_S), land)


def _away(store, fut):
    draw = store.rng.random()
    if draw < REFUSED_SHARE:
        _fail(fut, exceptions.NotSent())
        return "refused"
    if draw < REFUSED_SHARE + BUSY_SHARE:
        _answer(fut, results.HttpAnswer(_BUSY, {}, b""))
        return "busy"
    return "hang"


def _watch(store, fut, path, query):
    version = int(query["watch"][0])
    if store.objects.get(path, (_ANY,))[0] != version:
        _answer_soon(store, fut, _read(store, path))
        return
    watch = (fut, path, version)
    store.watches.append(watch)
    clocks.at(store.clock, float(query["timeout_s"][0]), _unchanged,
              store, watch)


def _unchanged(store, watch):
    if watch in store.watches:
        store.watches.remove(watch)
        _answer(watch[0], _tagged(watch[2], b"", _UNCHANGED))


def _read(store, path):
    if path not in store.objects:
        return results.HttpAnswer(_NOT_FOUND, {}, b"")
    return _tagged(*store.objects[path])


def _tagged(version, body, status=_OK):
    return results.HttpAnswer(status, {"etag": f'"{version}"'}, body)


def _answer_soon(store, fut, answer):
    clocks.at(store.clock, HALF_CALL_S, _answer_unless_down, store, fut,
              answer)


def _answer_unless_down(store, fut, answer):
    if store.mode != DOWN:
        _answer(fut, answer)


def _answer(fut, answer):
    # The client may have given up meanwhile.
    if not fut.called:
        fut.callback(answer)


def _fail(fut, exc):
    if not fut.called:
        fut.errback(exc)
