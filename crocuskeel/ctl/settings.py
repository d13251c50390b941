"""The commands under ``settings`` that read or check settings."""

import json

from crocuskeel import conf
from crocuskeel.conf import batches
from crocuskeel.conf import merging
from crocuskeel.ctl import client as clients
from crocuskeel.ctl import files
from crocuskeel.ctl import paths
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from crocuskeel.ctl import waiting
from result import Err
from result import Ok

__all__ = ["BASE_COMMENT", "check", "diff", "fetch_document", "get",
           "load_document", "log", "wait"]

BASE_COMMENT = "// crocuskeel settings, generation "


async def check(session, args):
    """``settings check``: check a settings file without a host."""
    document = load_document(session, args.file)
    if document.is_err():
        return document
    count = len(document.unwrap().get("workspaces", {}))
    return Ok(Report(
        f"{args.file}: no errors, {count} workspaces\n",
        {"file": args.file, "faults": [], "workspaces": count}))


def load_document(session, name):
    """Return Ok of a file's valid document or Err with all its errors."""
    text = files.read(session, name)
    if text.is_err():
        return text
    return conf.parse_document(text.unwrap()).map_err(
        lambda faults: _validation_failure(name, faults))


def _validation_failure(name, faults):
    lines = [_format_fault(name, fault) for fault in faults]
    data = {"file": name, "faults": [
        {"id": each.id, "path": list(each.path), "line": each.line,
         "fault": each.message, "hint": each.hint} for each in faults]}
    word = "error" if len(faults) == 1 else "errors"
    return Failure(
        Code.FAULTS, "\n".join(lines), f"{len(faults)} {word}", data)


def _format_fault(name, fault):
    hint = f"\n    {fault.hint}" if fault.hint else ""
    return (f"{name}:{fault.line or 1}: {paths.format_path(fault.path)}: "
            f"{fault.id} {fault.message}{hint}")


async def get(session, args):
    """``settings get``: a class's values, a workspace, or everything."""
    if not args.class_name:
        return await _get_document(session, args.workspace or "")
    query = {"workspace": args.workspace, "class": args.class_name}
    found = await clients.request(
        session.client, "GET", "/ops/settings", query)
    if found.is_err():
        return found
    body = found.unwrap()
    rows = [each for each in body["values"]
            if args.key in (None, each["key"])]
    if not rows:
        return Err(Failure(
            Code.NOT_FOUND, f"unknown key {args.key!r}",
            "Known keys: " + ", ".join(
                each["key"] for each in body["values"])))
    text = tables.table(
        ("KEY", "VALUE", "FROM", "SET AT"),
        [(each["key"], paths.format_value(each["value"]), each["layer"],
          paths.format_path(each["path"]) if each["path"] else "-")
         for each in rows])
    heading = (f"class {args.class_name} in workspace {args.workspace}, "
               f"generation {body['generation']}\n")
    return Ok(Report(heading + text, {**body, "values": rows}))


async def fetch_document(session, workspace=""):
    """Return Ok of the response with the stored document or Err."""
    query = {"workspace": workspace} if workspace else None
    return await clients.request(
        session.client, "GET", "/ops/settings/document", query)


async def _get_document(session, workspace):
    found = await fetch_document(session, workspace)
    if found.is_err():
        return found
    body = found.unwrap()
    text = json.dumps(body["document"], indent=2, ensure_ascii=False)
    heading = f"{BASE_COMMENT}{body['generation']}\n"
    return Ok(Report(heading + text + "\n", body))


async def diff(session, args):
    """``settings diff``: compare a file with the settings in force."""
    after = load_document(session, args.file)
    if after.is_err():
        return after
    found = await fetch_document(session)
    if found.is_err():
        return found
    body = found.unwrap()
    before = body["document"]
    edits = merging.diff(before, after.unwrap())
    data = {"generation": body["generation"],
            "edits": [batches.encode_edit(edit) for edit in edits]}
    heading = f"{args.file} compared with generation {body['generation']}: "
    if not edits:
        return Ok(Report(heading + "no difference\n", data))
    text = "".join(_format_change(before, edit) for edit in edits)
    word = "edit" if len(edits) == 1 else "edits"
    return Ok(Report(f"{heading}{len(edits)} {word}\n{text}", data))


def _format_change(before, edit):
    old = _value_at(before, edit.path)
    name = paths.format_path(edit.path)
    if edit.value is batches.REMOVE:
        return f"- {name}: {paths.format_value(old)}\n"
    new = paths.format_value(edit.value)
    if old is None:
        return f"+ {name}: {new}\n"
    return f"~ {name}: {paths.format_value(old)} -> {new}\n"


def _value_at(node, path):
    for step in path:
        if not isinstance(node, dict) or step not in node:
            return None
        node = node[step]
    return node


async def log(session, args):
    """``settings log``: recent batches, newest first."""
    found = await clients.request(
        session.client, "GET", "/ops/settings/log",
        {"limit": str(args.limit)})
    if found.is_err():
        return found
    body = found.unwrap()
    rows = [(each["generation"], tables.format_time(each["at"]),
             each["author"], len(each["edits"]), each["batch_id"],
             _changed_paths(each["edits"]))
            for each in body["entries"]]
    text = tables.table(
        ("GENERATION", "TIME (UTC)", "AUTHOR", "EDITS", "BATCH",
         "TOUCHES"), rows)
    notes = tuple(f"generation {number} can't be read now"
                  for number in body["unread"])
    return Ok(Report(text, body, notes))


def _changed_paths(edits):
    names = [paths.format_path(edit["path"]) for edit in edits]
    more = f" and {len(names) - 2} more" if len(names) > 2 else ""
    return ", ".join(names[:2]) + more


async def wait(session, args):
    """``settings wait``: wait until all hosts have a generation in force."""
    generation = args.generation
    if generation is None:
        status = await clients.request(
            session.client, "GET", "/ops/status", {"brief": "1"})
        if status.is_err():
            return status
        generation = status.unwrap()["own"]["newest"]
    wait_result = await waiting.wait_in_force(
        session, generation, args.within)
    return wait_result.map(lambda found: Report(
        f"generation {generation} is in force on all "
        f"{len(found.hosts)} hosts\n",
        {"generation": generation, "hosts": list(found.hosts)}))
