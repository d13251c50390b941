"""The commands under ``settings`` that read or check."""

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

__all__ = ["BASE_COMMENT", "check", "diff", "document_of", "get", "log",
           "whole_document", "wait"]

BASE_COMMENT = "// crocuskeel settings, generation "


async def check(session, args):
    """``settings check``: read a settings file without any host."""
    document = document_of(session, args.file)
    if document.is_err():
        return document
    count = len(document.unwrap().get("workspaces", {}))
    return Ok(Report(
        f"{args.file}: no faults, {count} workspaces\n",
        {"file": args.file, "faults": [], "workspaces": count}))


def document_of(session, name):
    """Return Ok of a file's checked document or Err with all faults."""
    text = files.read(session, name)
    if text.is_err():
        return text
    return conf.parse_document(text.unwrap()).map_err(
        lambda faults: _faults(name, faults))


def _faults(name, faults):
    lines = [_fault(name, fault) for fault in faults]
    data = {"file": name, "faults": [
        {"id": each.id, "path": list(each.path), "line": each.line,
         "fault": each.fault, "hint": each.hint} for each in faults]}
    word = "fault" if len(faults) == 1 else "faults"
    return Failure(
        Code.FAULTS, "\n".join(lines), f"{len(faults)} {word}", data)


def _fault(name, fault):
    hint = f"\n    {fault.hint}" if fault.hint else ""
    return (f"{name}:{fault.line or 1}: {paths.show_path(fault.path)}: "
            f"{fault.id} {fault.fault}{hint}")


async def get(session, args):
    """``settings get``: a class's values, a workspace, or the whole."""
    if not args.class_name:
        return await _get_document(session, args.workspace or "")
    query = {"workspace": args.workspace, "class": args.class_name}
    found = await clients.ask(
        session.client, "GET", "/ops/settings", query)
    if found.is_err():
        return found
    body = found.unwrap()
    rows = [each for each in body["values"]
            if args.key in (None, each["key"])]
    if not rows:
        return Err(Failure(
            Code.NOT_FOUND, f"no key {args.key!r} in a class",
            "keys: " + ", ".join(each["key"] for each in body["values"])))
    text = tables.table(
        ("KEY", "VALUE", "FROM", "SET AT"),
        [(each["key"], paths.show_value(each["value"]), each["layer"],
          paths.show_path(each["path"]) if each["path"] else "-")
         for each in rows])
    heading = (f"class {args.class_name} in workspace {args.workspace}, "
               f"generation {body['generation']}\n")
    return Ok(Report(heading + text, {**body, "values": rows}))


async def whole_document(session, workspace=""):
    """Return Ok of the answer with the stored document or Err."""
    query = {"workspace": workspace} if workspace else None
    return await clients.ask(
        session.client, "GET", "/ops/settings/document", query)


async def _get_document(session, workspace):
    found = await whole_document(session, workspace)
    if found.is_err():
        return found
    body = found.unwrap()
    text = json.dumps(body["document"], indent=2, ensure_ascii=False)
    heading = f"{BASE_COMMENT}{body['generation']}\n"
    return Ok(Report(heading + text + "\n", body))


async def diff(session, args):
    """``settings diff``: a file against what is in force."""
    after = document_of(session, args.file)
    if after.is_err():
        return after
    found = await whole_document(session)
    if found.is_err():
        return found
    body = found.unwrap()
    before = body["document"]
    edits = merging.diff(before, after.unwrap())
    data = {"generation": body["generation"],
            "edits": [batches.encode_edit(edit) for edit in edits]}
    heading = f"{args.file} against generation {body['generation']}: "
    if not edits:
        return Ok(Report(heading + "no difference\n", data))
    text = "".join(_change(before, edit) for edit in edits)
    word = "edit" if len(edits) == 1 else "edits"
    return Ok(Report(f"{heading}{len(edits)} {word}\n{text}", data))


def _change(before, edit):
    old = _at(before, edit.path)
    name = paths.show_path(edit.path)
    if edit.value is batches.REMOVE:
        return f"- {name}: {paths.show_value(old)}\n"
    new = paths.show_value(edit.value)
    if old is None:
        return f"+ {name}: {new}\n"
    return f"~ {name}: {paths.show_value(old)} -> {new}\n"


def _at(node, path):
    for step in path:
        if not isinstance(node, dict) or step not in node:
            return None
        node = node[step]
    return node


async def log(session, args):
    """``settings log``: the last batches, newest first."""
    found = await clients.ask(
        session.client, "GET", "/ops/settings/log",
        {"limit": str(args.limit)})
    if found.is_err():
        return found
    body = found.unwrap()
    rows = [(each["generation"], tables.moment(each["at"]),
             each["author"], len(each["edits"]), each["batch_id"],
             _touched(each["edits"]))
            for each in body["entries"]]
    text = tables.table(
        ("GENERATION", "TIME (UTC)", "AUTHOR", "EDITS", "BATCH",
         "TOUCHES"), rows)
    notes = tuple(f"generation {number} can't be read now"
                  for number in body["unread"])
    return Ok(Report(text, body, notes))


def _touched(edits):
    names = [paths.show_path(edit["path"]) for edit in edits]
    more = f" and {len(names) - 2} more" if len(names) > 2 else ""
    return ", ".join(names[:2]) + more


async def wait(session, args):
    """``settings wait``: until a generation is in force everywhere."""
    generation = args.generation
    if generation is None:
        status = await clients.ask(
            session.client, "GET", "/ops/status", {"brief": "1"})
        if status.is_err():
            return status
        generation = status.unwrap()["own"]["newest"]
    waited = await waiting.wait_in_force(
        session, generation, args.within)
    return waited.map(lambda found: Report(
        f"generation {generation} is in force on all "
        f"{len(found.hosts)} hosts\n",
        {"generation": generation, "hosts": list(found.hosts)}))
