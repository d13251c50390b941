"""Turns HTTP answers of the platform into results."""

import functools
import json

from crocuskeel.objectapi import results

__all__ = [
    "BUDGET_SPENT", "BUSY", "CANCELLED", "CIRCUIT_OPEN", "IN_FLIGHT",
    "LOST", "NOT_SENT", "WORTH_A_REPEAT", "deleted", "etag", "found",
    "hosts", "judge", "listed", "lost", "watched", "written",
]

NOT_SENT = "not_sent"
CIRCUIT_OPEN = "circuit_open"
BUDGET_SPENT = "budget_spent"
IN_FLIGHT = "in_flight"
BUSY = "busy"
LOST = "lost"
BAD_ANSWER = "bad_answer"
SERVER_ERROR = "server_error"
CANCELLED = "cancelled"
WORTH_A_REPEAT = frozenset(
    {NOT_SENT, IN_FLIGHT, BUSY, LOST, BAD_ANSWER, SERVER_ERROR})

_OK = (200, 201, 204)
_UNCHANGED = 304
_NOT_FOUND = 404
_CONFLICT = 412
_BUSY = 429
_FIRST_SERVER_ERROR = 500


def etag(version):
    """Return the entity tag of a version."""
    return f'"{version}"'


def _version(answer):
    return int(answer.headers["etag"].strip('"'))


def _retry_after_s(answer):
    try:
        return max(0.0, float(answer.headers.get("retry-after", "0")))
    except ValueError:
        return 0.0


def lost(is_write, reason):
    """Return the result of a call whose answer did not come or tell."""
    if is_write:
        return results.WriteUnknown(reason)
    return results.Unavailable(reason)


def judge(read, answer, is_write):
    """Return the result of an answer and whether the API is well.

    ``read`` turns an answer of success into its result.
    """
    if answer.status >= _FIRST_SERVER_ERROR:
        return lost(is_write, SERVER_ERROR), False
    if answer.status == _BUSY:
        wait_s = _retry_after_s(answer)
        return results.Unavailable(BUSY, wait_s), False
    if answer.status == _NOT_FOUND:
        return results.NotFound(), True
    if answer.status == _CONFLICT:
        return results.Conflict(), True
    if answer.status != _UNCHANGED and answer.status not in _OK:
        return results.Rejected(answer.status), True
    try:
        return read(answer), True
    except (KeyError, TypeError, ValueError):
        return lost(is_write, BAD_ANSWER), False


def found(answer):
    """Read the answer to a get."""
    return results.Found(_version(answer), answer.body)


def written(answer):
    """Read the answer to a put or create."""
    return results.Written(_version(answer))


def deleted(answer):
    """Read the answer to a delete."""
    return results.Written(0)


def watched(version):
    """Return the reader of the answer to a watch on ``version``."""
    return functools.partial(_watched, version)


def _watched(version, answer):
    if answer.status == _UNCHANGED:
        return results.Unchanged(version)
    return found(answer)


def listed(answer):
    """Read the answer to a listing."""
    data = json.loads(answer.body)
    return results.Listed(tuple(
        results.ObjectRef(each["path"], int(each["version"]))
        for each in data["objects"]))


def hosts(answer):
    """Read the host list."""
    data = json.loads(answer.body)
    return results.HostList(int(data["at"]), tuple(
        results.HostEntry(
            name=each["name"], address=each["address"],
            port=int(each["port"]), domain=each.get("domain", ""),
            region=each.get("region", ""), role=each["role"],
            service=each.get("service", ""),
            state=each.get("state", "live"))
        for each in data["hosts"]))
