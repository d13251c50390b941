"""Carries out the operations of a commit on the Object API.

The commit itself is pure (``crocuskeel.conf.commit``); this maps its
operations to calls of the platform client and their results back, with
a bound on the whole and a back-off between failed answers.
"""

from crocuskeel import conf
from crocuskeel.conf import commit
from crocuskeel.conf import storage
from crocuskeel import objectapi
from twisted.internet import task

__all__ = ["COMMIT_S", "read_part", "run_commit"]

COMMIT_S = 12.0
BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.6
_FAILED = (commit.StoreFailed, commit.OutcomeUnknown)


async def run_commit(reactor, client, batch, tree, resent,
                     limit_s=COMMIT_S):
    """Commit a batch; return ``commit.Done`` or ``commit.Refused``.

    ``client`` is a platform client, ``tree`` the newest generation at
    hand; ``resent`` says that another host may have begun to commit the
    same batch. Takes at most about ``limit_s`` seconds and one call.
    """
    ends = reactor.seconds() + limit_s
    wait_s = BACKOFF_S
    state, step = commit.new_commit(batch, tree, resent=resent)
    while not isinstance(step, (commit.Done, commit.Refused)):
        if reactor.seconds() >= ends:
            return _out_of_time(state)
        answer = await _carry_out(client, step)
        if isinstance(answer, _FAILED):
            await task.deferLater(reactor, wait_s)
            wait_s = min(BACKOFF_MAX_S, 2 * wait_s)
        state, step = commit.commit_step(state, answer)
    return step


def _out_of_time(state):
    # A head write without an answer may still take effect: to call the
    # batch "not applied" would make its author send it under a new id.
    settled = state.pending is None
    outcome = (commit.Outcome.NOT_APPLIED if settled
               else commit.Outcome.UNKNOWN)
    return commit.Refused(
        commit.Reason.STORE_UNAVAILABLE, outcome,
        detail="the Object API gave no answer in time")


async def _carry_out(client, step):
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
    """Return the stored part of that digest, None if it can't be had."""
    match await client.get(storage.part_key(digest)):
        case objectapi.Found(body=body):
            return conf.Part(digest, body)
    return None


async def _write_parts(client, parts):
    for part in parts:
        key = storage.part_key(part.digest)
        match await client.create(key, part.blob):
            case objectapi.Written() | objectapi.Conflict():
                # A part is named by its content: one that is there
                # already is the same.
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
            return commit.HeadMoved()
        case objectapi.WriteUnknown():
            return commit.OutcomeUnknown()
    return commit.StoreFailed()
