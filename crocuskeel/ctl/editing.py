"""The commands under ``settings`` that change something."""

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

FIRST_AUTHOR = "init"


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
    """``settings apply``: a file of edits, or a whole settings file."""
    if args.whole:
        return await _apply_whole(session, args)
    text = files.read(session, args.file)
    if text.is_err():
        return text
    parsed = paths.parse_edit_file(text.unwrap(), args.file)
    if parsed.is_err():
        return parsed
    found = parsed.unwrap()
    base = args.base if args.base is not None else found.base
    return await changes.send_batch(session, found.edits, base, args.wait)


async def _apply_whole(session, args):
    document = settings.document_of(session, args.file)
    if document.is_err():
        return document
    base = args.base
    if base is None:
        base = _named_base(files.read(session, args.file).unwrap())
    if base is None:
        return Err(Failure(
            Code.USAGE, f"{args.file}: made from which generation?",
            "Begin from the output of crocuskeelctl settings get, which "
            "names it on its first line, or give --base."))
    found = await settings.whole_document(session)
    if found.is_err():
        return found
    body = found.unwrap()
    if body["generation"] != base:
        # The file lacks what others changed since, so its difference
        # would hold the undoing of their changes: a list of conflicts
        # that says nothing of the cause.
        return Err(Failure(
            Code.REFUSED,
            f"{args.file} was made from generation {base}, but "
            f"{body['generation']} is in force",
            "See what changed with settings log, get the settings anew "
            "and repeat your edits, or apply a file of edits.",
            {"reason": "base_moved", "base": base,
             "generation": body["generation"]}))
    edits = [batches.encode_edit(each) for each in
             merging.diff(body["document"], document.unwrap())]
    if not edits:
        return Ok(Report("no difference, nothing was sent\n",
                         {"generation": base, "batch_id": ""}))
    return await changes.send_batch(session, edits, base, args.wait)


def _named_base(text):
    first = text.partition("\n")[0].strip()
    number = first.removeprefix(settings.BASE_COMMENT)
    if number == first or not number.isdecimal():
        return None
    return int(number)


async def revert(session, args):
    """``settings revert``: a new batch that undoes one generation.

    It is made on that generation, so that a value changed again since
    is shown as a conflict and not lost.
    """
    found = await clients.ask(
        session.client, "GET",
        f"/ops/settings/reversal/{args.generation}")
    if found.is_err():
        return found
    body = found.unwrap()
    return await changes.send_batch(
        session, body["edits"], body["base_generation"], args.wait)


async def init(session, args):
    """``settings init``: store the first settings of a deployment.

    No host knows a token before there are settings, so this goes to the
    Object API itself, by the platform's own token.
    """
    document = settings.document_of(session, args.file)
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
    # Without a time of its own the batch has the same id at each run,
    # so that a run after a lost answer finds the first one's work.
    batch = batches.new_batch(FIRST_AUTHOR, 0.0, 0, edits)
    ended = await store.run_commit(
        session.reactor, client, batch, tree, resent=True)
    return _first(args.platform, batch, ended)


def _first(url, batch, ended):
    if isinstance(ended, commit.Done):
        return Ok(Report(
            f"stored as generation {ended.generation}\n",
            {"generation": ended.generation, "batch_id": batch.id}))
    if ended.reason is commit.Reason.STORE_UNAVAILABLE:
        return Err(Failure(
            Code.UNREACHABLE, f"{url}: the Object API did not answer",
            "Check --platform and --platform-token-file, then run the "
            "same command again: what is stored is not stored twice."))
    return Err(Failure(
        Code.REFUSED, f"{url}: refused: {ended.reason.value}",
        "There are settings already: change them with settings apply."))
