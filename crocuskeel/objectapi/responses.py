"""Converts HTTP responses of the platform into results."""

import functools
import json

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
_MIN_SERVER_ERROR = 500


def etag(version):
    """Return the entity tag of a version."""
    return f'"{version}"'


def _version(response):
    return int(response.headers["etag"].strip('"'))


def _retry_after_s(response):
    try:
        return max(0.0, float(response.headers.get("retry-after", "0")))
    except ValueError:
        return 0.0


def lost_result(is_write, reason):
    """Return the result of a call without a usable response."""
    if is_write:
        return results.WriteUnknown(reason)
    return results.Unavailable(reason)


def classify(parse, response, is_write):
    """Return the result of a response and whether the API is healthy.

    ``parse`` converts a successful response into its result.
    """
    if response.status >= _MIN_SERVER_ERROR:
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
    except (KeyError, TypeError, ValueError):
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
    data = json.loads(response.body)
    return results.ObjectList(tuple(
        results.ObjectRef(each["path"], int(each["version"]))
        for each in data["objects"]))


def parse_hosts(response):
    """Parse the host list."""
    data = json.loads(response.body)
    return results.HostList(int(data["at"]), tuple(
        results.HostEntry(
            name=each["name"], address=each["address"],
            port=int(each["port"]), domain=each.get("domain", ""),
            region=each.get("region", ""), role=each["role"],
            service=each.get("service", ""),
            state=each.get("state", "live"))
        for each in data["hosts"]))
