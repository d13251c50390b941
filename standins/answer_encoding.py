"""Encodes answers as server-sent events or as one JSON document."""
import dataclasses
import json

PLACEHOLDER = "@@word@@"
END_OF_STREAM = b"[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class EventTemplate:
    """Constant parts of the events of one stream.

    A word's event is ``id_prefix``, its number, ``data_prefix``, the word
    and ``suffix``; words are plain ASCII and need no escaping.
    """

    id_prefix: bytes
    data_prefix: bytes
    suffix: bytes
    rid: str
    model: str


def new_template(rid, model):
    """Return the event template of a stream.

    One sample chunk is encoded and split at its placeholder, since
    encoding JSON per token would take CPU time from the benchmarks that
    run on the same machine.
    """
    chunk = json.dumps(_chunk(rid, model, {"content": PLACEHOLDER}, None))
    data_prefix, _, suffix = chunk.rpartition(PLACEHOLDER)
    return EventTemplate(
        id_prefix=f"id: {rid}:".encode(),
        data_prefix=f"\ndata: {data_prefix}".encode(),
        suffix=f"{suffix}\n\n".encode(),
        rid=rid,
        model=model)


def word_event(template, number, word):
    """Return the event of one word; all but the first start with a space."""
    text = word if number == 1 else " " + word
    return b"%b%d%b%b%b" % (
        template.id_prefix, number, template.data_prefix, text.encode(),
        template.suffix)


def final_events(template, stream):
    """Return the final chunk, which has the usage, and the [DONE] event."""
    count = len(stream.words)
    chunk = _chunk(template.rid, template.model, {}, stream.finish_reason)
    chunk["usage"] = _usage(stream)
    return [
        _event(template, count + 1, json.dumps(chunk).encode()),
        _event(template, count + 2, END_OF_STREAM)]


def events_after(template, stream, number):
    """Return the bytes of all events generated after a number so far."""
    events = [word_event(template, i + 1, stream.words[i])
              for i in range(number, stream.generated)]
    if stream.finished:
        count = len(stream.words)
        events += final_events(template, stream)[max(0, number - count):]
    return b"".join(events)


def full_response(template, stream):
    """Return the JSON body of a non-streaming response."""
    message = {"role": "assistant", "content": " ".join(stream.words)}
    return json.dumps({
        "id": template.rid,
        "object": "chat.completion",
        "created": 0,
        "model": template.model,
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


def _event(template, number, data):
    return b"%b%d\ndata: %b\n\n" % (template.id_prefix, number, data)
