"""Sends one batch of edits and reports its outcome."""

from crocuskeel.ctl import client as clients
from crocuskeel.ctl import paths
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from crocuskeel.ctl import waiting
from result import Err
from result import Ok

__all__ = ["generation_in_force", "send_batch"]

_HINTS = {
    "conflict": "Review the conflicting values, then send your edits "
                "again with --base set to the other generation.",
    "faults": "Nothing was changed. Correct the edits and send them again.",
    "outside_window": "The edits are based on a generation that is too "
                      "old: get the settings again and repeat the edits.",
    "unknown_base": "The base generation does not exist: see "
                    "crocuskeelctl status.",
    "tree_behind": "The host is far behind; use another --host.",
    "store_unavailable": "The Object API can't be reached; the settings "
                         "in force still apply. Try again.",
}
_UNKNOWN_HINT = (
    "The batch may have been accepted or may still be accepted. Check "
    "before you send it again: crocuskeelctl settings log")


async def generation_in_force(session):
    """Return Ok of the generation in force on a host or Err(Failure)."""
    status = await clients.request(
        session.client, "GET", "/ops/status", {"brief": "1"})
    return status.map(lambda body: body["own"]["generation"])


async def send_batch(session, edits, base, wait_s=None):
    """Send edits as one batch based on ``base``; Ok(Report) or Err.

    ``wait_s`` is how long to wait until the batch is in force on all
    hosts, None not to wait. A ``base`` of None means the generation now
    in force.
    """
    if base is None:
        found = await generation_in_force(session)
        if found.is_err():
            return found
        base = found.unwrap()
    body = {"base_generation": base, "at": session.wall_clock(),
            "edits": list(edits)}
    result = await clients.request(
        session.client, "POST", "/ops/settings/batches", body=body)
    if result.is_err():
        return Err(_commit_failure(result.unwrap_err()))
    response = result.unwrap()
    if wait_s is None:
        text = (f"accepted as generation {response['generation']} "
                f"(batch {response['batch_id']})\n")
        return Ok(Report(text, response))
    return await _wait_in_force(session, response, wait_s)


async def _wait_in_force(session, response, wait_s):
    generation = response["generation"]
    wait_result = await waiting.wait_in_force(session, generation, wait_s)
    if wait_result.is_err():
        return wait_result
    found = wait_result.unwrap()
    text = (f"generation {generation} is in force on all "
            f"{len(found.hosts)} hosts, after {found.waited_s:g} s\n")
    data = {**response, "hosts": list(found.hosts),
            "waited_s": found.waited_s}
    return Ok(Report(text, data))


def _commit_failure(failure):
    body = failure.data
    if not isinstance(body, dict) or "reason" not in body:
        return failure
    reason = body["reason"]
    lines = [f"refused: {reason}" + (
        f", {body['detail']}" if body["detail"] else "")]
    lines += [_format_conflict(each) for each in body["conflicts"]]
    lines += [_format_fault(each) for each in body["faults"]]
    if body["outcome"] == "unknown":
        return Failure(Code.UNKNOWN_OUTCOME, "\n".join(lines),
                       _UNKNOWN_HINT, body)
    code = Code.FAULTS if reason == "faults" else Code.REFUSED
    return Failure(code, "\n".join(lines), _HINTS.get(reason, ""), body)


def _format_conflict(conflict):
    ours, theirs = conflict["ours"], conflict["theirs"]
    when = tables.format_time(conflict["at"])
    return (f"  {paths.format_path(ours['path'])}\n"
            f"    yours:  {_format_edit(ours)}\n"
            f"    theirs: {_format_edit(theirs)} at "
            f"{paths.format_path(theirs['path'])}, by "
            f"{conflict['author']}, {when} UTC, generation "
            f"{conflict['generation']}")


def _format_edit(edit):
    if edit.get("remove"):
        return "(removed)"
    return paths.format_value(edit["value"])


def _format_fault(fault):
    hint = f"\n    {fault['hint']}" if fault["hint"] else ""
    return (f"  {paths.format_path(fault['path'])}: {fault['id']} "
            f"{fault['fault']}{hint}")
