"""Answers kept a while, so that a caller can get them again.

Bounded in bytes over all and in time. Readers follow an answer that is
still growing.
"""

import dataclasses

__all__ = ["Answer", "append", "begin", "fail", "find", "finish",
           "new_answer", "new_store", "read", "sweep"]

MAX_BYTES = 32 * 1024 * 1024
OPEN = "open"
DONE = "done"
FAILED = "failed"
_BOUNDARY = b"\n\n"


@dataclasses.dataclass(slots=True)
class Answer:
    """One kept answer; ``touched`` is when it last grew."""

    rid: str
    proof: str
    touched: float
    state: str = OPEN
    status: int = 0
    content_type: bytes = b""
    chunks: list = dataclasses.field(default_factory=list)
    size: int = 0
    readers: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Store:
    """All kept answers, oldest first; ``size`` is their bytes."""

    span_s: float
    max_bytes: int
    answers: dict = dataclasses.field(default_factory=dict)
    size: int = 0


def new_store(span_s, max_bytes=MAX_BYTES):
    """Return an empty store that keeps answers for a span."""
    return Store(span_s, max_bytes)


def new_answer(ctx, rid, proof):
    """Begin to keep the answer of a request, in place of an old one."""
    _forget(ctx.kept, rid)
    answer = Answer(rid, proof, ctx.reactor.seconds())
    ctx.kept.answers[rid] = answer
    return answer


def find(ctx, rid):
    """Return the kept :class:`Answer` of a request or None."""
    return ctx.kept.answers.get(rid)


def begin(answer, status, content_type):
    """Note the head of an answer."""
    answer.status = status
    answer.content_type = content_type


def append(ctx, answer, data):
    """Keep more bytes of an answer."""
    store = ctx.kept
    answer.chunks.append(data)
    answer.size += len(data)
    store.size += len(data)
    for reader in answer.readers:
        reader("more", data, answer)
    if store.size > store.max_bytes:
        _make_room(store)


def finish(ctx, answer):
    """Note that an answer is whole."""
    _close(ctx, answer, DONE, "end")


def fail(ctx, rid):
    """Note that a request's answer will never be whole."""
    answer = ctx.kept.answers.get(rid)
    if answer is not None and answer.state == OPEN:
        _close(ctx, answer, FAILED, "failed")
        _forget(ctx.kept, rid)


def _close(ctx, answer, state, word):
    answer.state = state
    answer.touched = ctx.reactor.seconds()
    readers, answer.readers = answer.readers, []
    for reader in readers:
        reader(word, b"", answer)


def read(ctx, rid, after, proof, reader):
    """Hand an answer to ``reader(word, data, answer)``.

    Words are those of ``ReplayChunk.status``. ``after`` leaves out that
    many events; ``proof`` must be the kept one unless it is empty.
    """
    answer = ctx.kept.answers.get(rid)
    if answer is None or not answer.status or (
            proof and proof != answer.proof):
        reader("unknown", b"", None)
        return
    data = b"".join(answer.chunks)
    if after:
        parts = data.split(_BOUNDARY, after)
        data = parts[-1] if len(parts) > after else b""
    reader("more", data, answer)
    if answer.state == DONE:
        reader("end", b"", answer)
    else:
        answer.readers.append(reader)


def sweep(ctx, now):
    """Forget answers that nobody added to for the kept span."""
    store = ctx.kept
    oldest = now - store.span_s
    for answer in list(store.answers.values()):
        if answer.touched > oldest:
            break
        if answer.state == OPEN and answer.rid in ctx.held:
            answer.touched = now
            continue
        _forget(store, answer.rid)


def _make_room(store):
    for rid in list(store.answers):
        if store.size <= store.max_bytes:
            return
        _forget(store, rid)


def _forget(store, rid):
    answer = store.answers.pop(rid, None)
    if answer is None:
        return
    store.size -= answer.size
    readers, answer.readers = answer.readers, []
    for reader in readers:
        reader("failed", b"", answer)
