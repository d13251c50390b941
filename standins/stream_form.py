"""Bytes of a stream: server-sent events and the whole answer."""
import dataclasses
import json

MARK = "@@word@@"
DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """Constant parts of the events of one stream.

    An event of a word is ``head``, its number, ``before``, the word and
    ``after``; the words are plain ASCII and need no escapes.
    """

    head: bytes
    before: bytes
    after: bytes
    rid: str
    model: str


def new_form(rid, model):
    """Return the parts for a stream.

    The library writes one sample chunk, which is cut at its word: a
    stand-in that runs beside a benchmark must not encode each token.
    """
    chunk = json.dumps(_chunk(rid, model, {"content": MARK}, None))
    before, _, after = chunk.rpartition(MARK)
    return Form(
        head=f"id: {rid}:".encode(),
        before=f"\ndata: {before}".encode(),
        after=f"{after}\n\n".encode(),
        rid=rid,
        model=model)


def word_event(form, number, word):
    """Return the event of one word; all but the first have a space."""
    text = word if number == 1 else " " + word
    return b"%b%d%b%b%b" % (
        form.head, number, form.before, text.encode(), form.after)


def last_events(form, stream):
    """Return the final chunk with the usage, and the end event."""
    count = len(stream.words)
    chunk = _chunk(form.rid, form.model, {}, stream.finish_reason)
    chunk["usage"] = _usage(stream)
    return [
        _event(form, count + 1, json.dumps(chunk).encode()),
        _event(form, count + 2, DONE)]


def events_after(form, stream, number):
    """Return all events made so far after a number, joined."""
    events = [word_event(form, i + 1, stream.words[i])
              for i in range(number, stream.done)]
    if stream.finished:
        count = len(stream.words)
        events += last_events(form, stream)[max(0, number - count):]
    return b"".join(events)


def whole_answer(form, stream):
    """Return the JSON answer of a request without stream."""
    message = {"role": "assistant", "content": " ".join(stream.words)}
    return json.dumps({
        "id": form.rid,
        "object": "chat.completion",
        "created": 0,
        "model": form.model,
        "choices": [{
            "index": 0,
            "message": message,
            "finish_reason": stream.finish_reason}],
        "usage": _usage(stream)}).encode()


def _chunk(rid, model, delta, finish_reason):
    return {
        "id": rid,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "delta": delta,
            "finish_reason": finish_reason}]}


def _usage(stream):
    count = len(stream.words)
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": stream.prompt_tokens + count}


def _event(form, number, data):
    return b"%b%d\ndata: %b\n\n" % (form.head, number, data)
