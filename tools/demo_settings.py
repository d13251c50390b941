"""Commits a settings file to the object API of the stand-in platform."""

import functools
import pathlib
import random

from crocuskeel import conf
from crocuskeel.conf import commit
from crocuskeel.conf import storage
from crocuskeel import objectapi
from crocuskeel.objectapi import transport

__all__ = ["load", "parse_tree", "read_tree"]

AUTHOR = "demo"


def read_tree(path):
    """Return the settings tree of a file; raise SystemExit if invalid."""
    return parse_tree(pathlib.Path(path).read_text())


def parse_tree(text):
    """Return the settings tree of a text; raise SystemExit if invalid."""
    result = conf.parse(text)
    if result.is_err():
        raise SystemExit("\n".join(map(str, result.unwrap_err())))
    return result.unwrap()


async def load(reactor, url, token, tree):
    """Commit all of ``tree`` as the first batch; return the generation."""
    client = objectapi.new_client(
        reactor, objectapi.ClientConfig(url, token),
        transport.new_treq_send(reactor), random.Random(1))
    edits = conf.document_edits(
        conf.empty_tree(), conf.to_document(tree))
    batch = conf.new_batch(AUTHOR, 0.0, 0, edits)
    state, step = conf.new_commit(
        batch, conf.empty_tree(), resent=False)
    while not isinstance(step, (conf.Committed, conf.Refused)):
        answer = await _execute_step(client, step)
        state, step = conf.commit_step(state, answer)
    if isinstance(step, conf.Refused):
        raise SystemExit(f"settings refused: {step}")
    return step.generation


async def _execute_step(client, step):
    match step:
        case commit.ReadHead():
            return _head_event(await client.get(storage.HEAD_KEY))
        case commit.WriteParts(parts=parts):
            for part in parts:
                await client.create(
                    storage.part_key(part.digest), part.blob)
            return commit.PartsWritten()
        case commit.WriteHead(head=head, version=version):
            body = storage.encode_head(head)
            write = functools.partial(client.create, storage.HEAD_KEY)
            if version is not None:
                write = functools.partial(
                    client.put, storage.HEAD_KEY, version=version)
            return _write_event(await write(body=body))
    raise AssertionError(step)


def _head_event(result):
    if isinstance(result, objectapi.Found):
        return commit.HeadRead(
            storage.decode_head(result.body), result.version)
    if isinstance(result, objectapi.NotFound):
        return commit.HeadRead(None, None)
    return commit.StoreFailed()


def _write_event(result):
    if isinstance(result, objectapi.Written):
        return commit.HeadWritten()
    if isinstance(result, objectapi.Conflict):
        return commit.HeadVersionConflict()
    if isinstance(result, objectapi.WriteUnknown):
        return commit.OutcomeUnknown()
    return commit.StoreFailed()
