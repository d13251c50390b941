"""Executes the steps of a commit on the Object API.

The commit itself does no I/O (``crocuskeel.conf.commit``). This module
maps its steps to calls of the platform client and the results back,
with a timeout for the whole commit and a back-off after failures.
"""

from crocuskeel import conf
from crocuskeel.conf import commit
from crocuskeel.conf import storage
from crocuskeel import objectapi
from twisted.internet import task

__all__ = ["COMMIT_TIMEOUT_S", "read_part", "run_commit"]

COMMIT_TIMEOUT_S = 12.0
BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.6
_FAILED = (commit.StoreFailed, commit.OutcomeUnknown)


async def run_commit(reactor, client, batch, tree, resent,
                     timeout_s=COMMIT_TIMEOUT_S):
    """Commit a batch; return ``commit.Committed`` or ``commit.Refused``.

    ``client`` is a platform client, ``tree`` the newest generation that
    is known here; ``resent`` says that another host may have begun to
    commit the same batch. Takes at most about ``timeout_s`` seconds plus
    the duration of one call.
    """
    deadline = reactor.seconds() + timeout_s
    wait_s = BACKOFF_S
    state, step = commit.new_commit(batch, tree, resent=resent)
    while not isinstance(step, (commit.Committed, commit.Refused)):
        if reactor.seconds() >= deadline:
            return _timed_out(state)
        result = await _execute(client, step)
        if isinstance(result, _FAILED):
            await task.deferLater(reactor, wait_s)
            wait_s = min(BACKOFF_MAX_S, 2 * wait_s)
        state, step = commit.commit_step(state, result)
    return step


def _timed_out(state):
    # A head write whose response is missing may still take effect: if the
    # batch were reported as not applied, its author would send it again
    # under a new ID.
    settled = state.pending_generation is None
    outcome = (commit.Outcome.NOT_APPLIED if settled
               else commit.Outcome.UNKNOWN)
    return commit.Refused(
        commit.Reason.STORE_UNAVAILABLE, outcome,
        detail="the Object API did not respond in time")


async def _execute(client, step):
    match step:
        case commit.ReadHead():
            return await _read_head(client)
        case commit.ReadPart(digest=digest):
            part = await read_part(client, digest)
            if part is None:
                return commit.StoreFailed()
            return commit.PartRead(part)
        case commit.WriteParts(parts=parts):
            return await _write_parts(client, parts)
        case commit.WriteHead():
            return await _write_head(client, step)
    raise AssertionError(step)


async def _read_head(client):
    match await client.get(storage.HEAD_KEY):
        case objectapi.Found(version=version, body=body):
            return commit.HeadRead(storage.decode_head(body), version)
        case objectapi.NotFound():
            return commit.HeadRead(None, None)
    return commit.StoreFailed()


async def read_part(client, digest):
    """Return the stored part with a digest, None if it can't be read."""
    match await client.get(storage.part_key(digest)):
        case objectapi.Found(body=body):
            return conf.Part(digest, body)
    return None


async def _write_parts(client, parts):
    for part in parts:
        key = storage.part_key(part.digest)
        match await client.create(key, part.blob):
            case objectapi.Written() | objectapi.Conflict():
                # A part's key is the digest of its content, so an
                # existing object has the same content.
                continue
            case objectapi.WriteUnknown():
                return commit.OutcomeUnknown()
        return commit.StoreFailed()
    return commit.PartsWritten()


async def _write_head(client, step):
    body = storage.encode_head(step.head)
    if step.version is None:
        result = await client.create(storage.HEAD_KEY, body)
    else:
        result = await client.put(storage.HEAD_KEY, body, step.version)
    match result:
        case objectapi.Written():
            return commit.HeadWritten()
        case objectapi.Conflict() | objectapi.NotFound():
            return commit.HeadVersionConflict()
        case objectapi.WriteUnknown():
            return commit.OutcomeUnknown()
    return commit.StoreFailed()
