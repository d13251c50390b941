"""Converts HTTP responses of the platform into results."""

import functools
import math
import re

from crocuskeel import decoding
from crocuskeel.objectapi import results

__all__ = [
    "BUDGET_SPENT", "BUSY", "CANCELLED", "CIRCUIT_OPEN", "IN_FLIGHT",
    "LOST", "NOT_SENT", "RETRYABLE_REASONS", "classify", "etag",
    "lost_result", "parse_deleted", "parse_found", "parse_hosts",
    "parse_listing", "parse_written", "watch_parser",
]

NOT_SENT = "not_sent"
CIRCUIT_OPEN = "circuit_open"
BUDGET_SPENT = "budget_spent"
IN_FLIGHT = "in_flight"
BUSY = "busy"
LOST = "lost"
BAD_RESPONSE = "bad_answer"
SERVER_ERROR = "server_error"
CANCELLED = "cancelled"
RETRYABLE_REASONS = frozenset(
    {NOT_SENT, IN_FLIGHT, BUSY, LOST, BAD_RESPONSE, SERVER_ERROR})

_SUCCESS = (200, 201, 204)
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_MIN_FINAL = 200
_MIN_SERVER_ERROR = 500
# Positions and versions fit 64 bits, ports 16.
_MAX_COUNT = 2 ** 63 - 1
_MAX_PORT = 65535
_MAX_TEXT_CHARS = 253
# Faults of entries that are described.
_MAX_FAULTS = 4
_DIGITS = re.compile(r"[0-9]{1,19}")
# An address is part of a URL.
_ADDRESS = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def etag(version):
    """Return the entity tag of a version."""
    return f'"{version}"'


def _version(response):
    return _count(response.headers["etag"].strip('"'))


def _count(value, most=_MAX_COUNT):
    """Return a number, or the one in a text; raises ValueError."""
    if isinstance(value, str) and _DIGITS.fullmatch(value):
        value = int(value)
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError("invalid number")
    return value


def _text(value, default=None):
    """Return a text that is checked, ``default`` if it is missing."""
    if value is None and default is not None:
        return default
    if not (isinstance(value, str) and len(value) <= _MAX_TEXT_CHARS
            and value.isprintable() and "\ufffd" not in value):
        raise ValueError("not a short text")
    return value


def _retry_after_s(response):
    try:
        wait_s = float(response.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return max(0.0, wait_s) if math.isfinite(wait_s) else 0.0


def lost_result(is_write, reason):
    """Return the result of a call without a usable response."""
    if is_write:
        return results.WriteUnknown(reason)
    return results.Unavailable(reason)


def classify(parse, response, is_write):
    """Return the result of a response and whether the API is healthy.

    ``parse`` converts a successful response into its result.
    """
    if not _MIN_FINAL <= response.status < _MIN_SERVER_ERROR:
        return lost_result(is_write, SERVER_ERROR), False
    if response.status == _TOO_MANY_REQUESTS:
        wait_s = _retry_after_s(response)
        return results.Unavailable(BUSY, wait_s), False
    if response.status == _NOT_FOUND:
        return results.NotFound(), True
    if response.status == _PRECONDITION_FAILED:
        return results.Conflict(), True
    if response.status != _NOT_MODIFIED and response.status not in _SUCCESS:
        return results.Rejected(response.status), True
    try:
        return parse(response), True
    except decoding.DECODING_ERRORS:
        return lost_result(is_write, BAD_RESPONSE), False


def parse_found(response):
    """Parse the response to a get."""
    return results.Found(_version(response), response.body)


def parse_written(response):
    """Parse the response to a put or create."""
    return results.Written(_version(response))


def parse_deleted(response):
    """Parse the response to a delete."""
    return results.Written(0)


def watch_parser(version):
    """Return the parser of the response to a watch on ``version``."""
    return functools.partial(_parse_watched, version)


def _parse_watched(version, response):
    if response.status == _NOT_MODIFIED:
        return results.Unchanged(version)
    return parse_found(response)


def parse_listing(response):
    """Parse the response to a listing."""
    data = decoding.loads(response.body)
    return results.ObjectList(tuple(
        results.ObjectRef(each["path"], _count(each["version"]))
        for each in data["objects"]))


def parse_hosts(response):
    """Parse the host list; an entry that can't be used is left out."""
    data = decoding.loads(response.body)
    if not isinstance(data["hosts"], list):
        raise ValueError("hosts is no list")
    hosts = []
    faults = []
    for each in data["hosts"]:
        try:
            hosts.append(_host(each))
        except decoding.DECODING_ERRORS as exc:
            faults.append(repr(exc)[:_MAX_TEXT_CHARS])
    return results.HostList(_count(data["at"]), tuple(hosts), len(faults),
                            tuple(faults[:_MAX_FAULTS]))


def _host(entry):
    if not (_text(entry["name"]) and _ADDRESS.fullmatch(
            _text(entry["address"]))):
        raise ValueError("invalid name or address")
    port = _count(entry["port"], _MAX_PORT)
    if not port:
        raise ValueError("invalid port")
    return results.HostEntry(
        name=entry["name"], address=entry["address"], port=port,
        domain=_text(entry.get("domain"), ""),
        region=_text(entry.get("region"), ""), role=_text(entry["role"]),
        service=_text(entry.get("service"), ""),
        state=_text(entry.get("state"), "live"))
