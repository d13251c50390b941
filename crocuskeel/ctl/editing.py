"""The commands under ``settings`` that change settings."""

import random

from crocuskeel import conf
from crocuskeel.conf import batches
from crocuskeel.conf import commit
from crocuskeel.conf import merging
from crocuskeel.ctl import changes
from crocuskeel.ctl import client as clients
from crocuskeel.ctl import files
from crocuskeel.ctl import paths
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import settings
from crocuskeel import objectapi
from crocuskeel.ops import store
from result import Err
from result import Ok

__all__ = ["apply", "edit", "init", "revert"]

INIT_AUTHOR = "init"


async def edit(session, args):
    """``settings edit``: assignments and removals as one batch."""
    edits = []
    for text in args.assignments:
        parsed = paths.parse_assignment(text)
        if parsed.is_err():
            return parsed
        edits.append(parsed.unwrap())
    edits += [{"path": paths.split_path(text), "remove": True}
              for text in args.remove]
    if not edits:
        return Err(Failure(Code.USAGE, "no edits",
                           "Give PATH=VALUE or --remove PATH."))
    return await changes.send_batch(session, edits, args.base, args.wait)


async def apply(session, args):
    """``settings apply``: a file of edits or a complete settings file."""
    if args.whole:
        return await _apply_document(session, args)
    text = files.read(session, args.file)
    if text.is_err():
        return text
    parsed = paths.parse_edit_file(text.unwrap(), args.file)
    if parsed.is_err():
        return parsed
    found = parsed.unwrap()
    base = args.base if args.base is not None else found.base
    return await changes.send_batch(session, found.edits, base, args.wait)


async def _apply_document(session, args):
    document = settings.load_document(session, args.file)
    if document.is_err():
        return document
    base = args.base
    if base is None:
        base = _base_generation(files.read(session, args.file).unwrap())
    if base is None:
        return Err(Failure(
            Code.USAGE, f"{args.file}: unknown base generation",
            "Start from the output of crocuskeelctl settings get, whose "
            "first line names it, or give --base."))
    found = await settings.fetch_document(session)
    if found.is_err():
        return found
    body = found.unwrap()
    if body["generation"] != base:
        # The file lacks the changes made since, so its difference would
        # revert them and be refused with a list of conflicts that does
        # not show the cause.
        return Err(Failure(
            Code.REFUSED,
            f"{args.file} is based on generation {base}, but "
            f"{body['generation']} is in force",
            "See what changed with settings log, get the settings again "
            "and repeat your edits, or apply a file of edits.",
            {"reason": "base_moved", "base": base,
             "generation": body["generation"]}))
    edits = [batches.encode_edit(each) for each in
             merging.diff(body["document"], document.unwrap())]
    if not edits:
        return Ok(Report("no difference; nothing was sent\n",
                         {"generation": base, "batch_id": ""}))
    return await changes.send_batch(session, edits, base, args.wait)


def _base_generation(text):
    first = text.partition("\n")[0].strip()
    number = first.removeprefix(settings.BASE_COMMENT)
    if number == first or not number.isdecimal():
        return None
    return int(number)


async def revert(session, args):
    """``settings revert``: a new batch that reverts one generation.

    The batch is based on that generation, so that a value that was
    changed again since is reported as a conflict and not overwritten.
    """
    found = await clients.request(
        session.client, "GET",
        f"/ops/settings/reversal/{args.generation}")
    if found.is_err():
        return found
    body = found.unwrap()
    return await changes.send_batch(
        session, body["edits"], body["base_generation"], args.wait)


async def init(session, args):
    """``settings init``: store the initial settings of a deployment.

    Hosts can check no tokens before there are settings, so this accesses
    the Object API directly, with the platform's token.
    """
    document = settings.load_document(session, args.file)
    if document.is_err():
        return document
    token = files.read(session, args.platform_token_file)
    if token.is_err():
        return token
    client = objectapi.new_client(
        session.reactor,
        objectapi.ClientConfig(args.platform.rstrip("/"),
                               token.unwrap().strip()),
        session.client.send, random.Random(args.platform))
    tree = conf.empty_tree()
    edits = merging.document_edits(tree, document.unwrap())
    # With a constant time the batch has the same ID in each run, so
    # that a run after a lost response finds what the first one wrote.
    batch = batches.new_batch(INIT_AUTHOR, 0.0, 0, edits)
    result = await store.run_commit(
        session.reactor, client, batch, tree, resent=True)
    return _init_result(args.platform, batch, result)


def _init_result(url, batch, result):
    if isinstance(result, commit.Committed):
        return Ok(Report(
            f"stored as generation {result.generation}\n",
            {"generation": result.generation, "batch_id": batch.id}))
    if result.reason is commit.Reason.STORE_UNAVAILABLE:
        return Err(Failure(
            Code.UNREACHABLE, f"{url}: the Object API did not respond",
            "Check --platform and --platform-token-file, then run the "
            "same command again; the settings are stored only once."))
    return Err(Failure(
        Code.REFUSED, f"{url}: refused: {result.reason.value}",
        "The deployment already has settings: change them with "
        "settings apply."))
