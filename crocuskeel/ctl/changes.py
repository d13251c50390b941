"""Sends one batch of edits and tells what became of it."""

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
    "conflict": "Look at what they set, then send your edits again on "
                "top: --base with their generation.",
    "faults": "Nothing was changed. Mend the edits and send them again.",
    "outside_window": "The edits were made on too old a generation: get "
                      "the settings anew and repeat them.",
    "unknown_base": "No such generation: see crocuskeelctl status.",
    "tree_behind": "The asked host is far behind; ask another --host.",
    "store_unavailable": "The Object API can't be reached; serving goes "
                         "on with the settings in force. Try again.",
}
_UNKNOWN = ("It may have been accepted or may yet be. Look before you "
            "send it again: crocuskeelctl settings log")


async def generation_in_force(session):
    """Return Ok of the asked host's generation or Err(Failure)."""
    status = await clients.ask(
        session.client, "GET", "/ops/status", {"brief": "1"})
    return status.map(lambda body: body["own"]["generation"])


async def send_batch(session, edits, base, wait_s=None):
    """Send edits as one batch made on ``base``; Ok(Report) or Err.

    ``wait_s`` is how long to wait for it to be in force everywhere,
    None not to wait. ``base`` None means the generation now in force.
    """
    if base is None:
        found = await generation_in_force(session)
        if found.is_err():
            return found
        base = found.unwrap()
    body = {"base_generation": base, "at": session.wall(),
            "edits": list(edits)}
    sent = await clients.ask(
        session.client, "POST", "/ops/settings/batches", body=body)
    if sent.is_err():
        return Err(_explained(sent.unwrap_err()))
    answer = sent.unwrap()
    if wait_s is None:
        text = (f"accepted as generation {answer['generation']} "
                f"(batch {answer['batch_id']})\n")
        return Ok(Report(text, answer))
    return await _wait(session, answer, wait_s)


async def _wait(session, answer, wait_s):
    generation = answer["generation"]
    waited = await waiting.wait_in_force(session, generation, wait_s)
    if waited.is_err():
        return waited
    found = waited.unwrap()
    text = (f"generation {generation} is in force on all "
            f"{len(found.hosts)} hosts, after {found.waited_s:g} s\n")
    data = {**answer, "hosts": list(found.hosts),
            "waited_s": found.waited_s}
    return Ok(Report(text, data))


def _explained(failure):
    body = failure.data
    if not isinstance(body, dict) or "reason" not in body:
        return failure
    reason = body["reason"]
    lines = [f"refused: {reason}" + (
        f", {body['detail']}" if body["detail"] else "")]
    lines += [_conflict(each) for each in body["conflicts"]]
    lines += [_fault(each) for each in body["faults"]]
    if body["outcome"] == "unknown":
        return Failure(Code.UNKNOWN_OUTCOME, "\n".join(lines), _UNKNOWN,
                       body)
    code = Code.FAULTS if reason == "faults" else Code.REFUSED
    return Failure(code, "\n".join(lines), _HINTS.get(reason, ""), body)


def _conflict(conflict):
    ours, theirs = conflict["ours"], conflict["theirs"]
    when = tables.moment(conflict["at"])
    return (f"  {paths.show_path(ours['path'])}\n"
            f"    yours:  {_new_value(ours)}\n"
            f"    theirs: {_new_value(theirs)} at "
            f"{paths.show_path(theirs['path'])}, by "
            f"{conflict['author']}, {when} UTC, generation "
            f"{conflict['generation']}")


def _new_value(edit):
    if edit.get("remove"):
        return "(removed)"
    return paths.show_value(edit["value"])


def _fault(fault):
    hint = f"\n    {fault['hint']}" if fault["hint"] else ""
    return (f"  {paths.show_path(fault['path'])}: {fault['id']} "
            f"{fault['fault']}{hint}")
