"""Parses callers' requests into events."""

import hashlib
import json

from crocuskeel.core import events
from crocuskeel import decoding
from crocuskeel.runtime import exceptions

__all__ = ["chat_request", "plain_request", "replace_model", "token_hash"]

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
PREFIX_BLOCKS = 4
PREFIX_KEY_BYTES = 8
MAX_KEY_CHARS = 256
MAX_NAME_CHARS = 128
MAX_UNIX_S = 1e11
_BEARER = "bearer "


def token_hash(req):
    """Return the SHA-256 of the request's bearer token, hex, or ""."""
    value = req.getHeader("Authorization") or ""
    if value[:len(_BEARER)].lower() != _BEARER:
        return ""
    token = value[len(_BEARER):].strip()
    return hashlib.sha256(token.encode()).hexdigest()


def chat_request(req, rid, token, body):
    """Return the event of an OpenAI chat request; raises BadRequest."""
    document = _parse_body(body)
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise exceptions.BadRequest("messages must be a list")
    prompt = _prompt(messages)
    return _new_event(
        req, rid, token, body,
        model=_text_field(document, "model"),
        stream=bool(document.get("stream")),
        prompt_tokens=max(1, -(-len(prompt) // CHARS_PER_TOKEN)),
        max_tokens=_count_field(document, "max_tokens"),
        prefix=_prefix_key(prompt),
        fingerprint=_hex_digest(_bytes(prompt)))


def replace_model(body, model):
    """Return an OpenAI request's body with its model replaced."""
    document = json.loads(body)
    document["model"] = model
    return json.dumps(document).encode()


def plain_request(req, rid, token, body):
    """Return the event of a plain service's request."""
    return _new_event(
        req, rid, token, body, model="", stream=False, prompt_tokens=0,
        max_tokens=0, prefix=0,
        fingerprint=_hex_digest(req.method, req.uri, body))


def _new_event(req, rid, token, body, **fields):
    return events.RequestArrived(
        rid=rid, token=token, method=req.method.decode("latin-1"),
        path=req.uri.decode("latin-1"),
        class_name=_header(req, "X-Crocuskeel-Class", MAX_NAME_CHARS),
        digest=_hex_digest(req.method, req.uri, body),
        idempotency_key=_header(req, "Idempotency-Key", MAX_KEY_CHARS),
        non_repeatable=_header(
            req, "X-Crocuskeel-Repeatable", MAX_NAME_CHARS) == "no",
        issued_at=_issued_at(req),
        first_sending=_header(
            req, "X-Crocuskeel-First-Sending", MAX_NAME_CHARS) == "yes",
        **fields)


def _parse_body(body):
    try:
        document = json.loads(body)
        is_deep = decoding.is_deep(document)
    except ValueError as exc:
        raise exceptions.BadRequest(f"the body is no JSON: {exc}") from exc
    except RecursionError:
        is_deep = True
    if is_deep:
        # It could not be written again.
        raise exceptions.BadRequest("the body is nested too deeply")
    if not isinstance(document, dict):
        raise exceptions.BadRequest("the body must be an object")
    return document


def _text_field(document, name):
    value = document.get(name, "")
    if not (isinstance(value, str) and len(value) <= MAX_NAME_CHARS
            and _bytes(value) == value.encode("utf-8", "replace")):
        raise exceptions.BadRequest(f"{name} must be a short text")
    return value


def _count_field(document, name):
    value = document.get(name) or 0
    if not isinstance(value, int) or value < 0 or value > 2**31:
        raise exceptions.BadRequest(f"{name} must be a count")
    return value


def _header(req, name, max_chars):
    value = req.getHeader(name) or ""
    if len(value) > max_chars:
        raise exceptions.BadRequest(
            f"{name} may have {max_chars} characters")
    return value


def _issued_at(req):
    text = _header(req, "X-Crocuskeel-Issued-At", MAX_NAME_CHARS)
    try:
        issued_at = max(0.0, float(text)) if text else 0.0
        if issued_at > MAX_UNIX_S:
            raise ValueError("out of range")
        return issued_at
    except ValueError as exc:
        raise exceptions.BadRequest(
            "X-Crocuskeel-Issued-At must be Unix seconds") from exc


def _prompt(messages):
    # Engines compute the block keys of their prefix cache from this form.
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            raise exceptions.BadRequest("a message must be an object")
        content = message.get("content")
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True)
        lines.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(lines)


def _prefix_key(prompt):
    blocks = min(PREFIX_BLOCKS, len(prompt) // BLOCK_CHARS)
    if not blocks:
        return 0
    text = _bytes(prompt[:blocks * BLOCK_CHARS])
    hasher = hashlib.blake2b(text, digest_size=PREFIX_KEY_BYTES)
    return int.from_bytes(hasher.digest())


def _bytes(text):
    """Return the bytes of a text, which may hold half of a surrogate pair."""
    return text.encode("utf-8", "surrogatepass")


def _hex_digest(*parts):
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    return hasher.hexdigest()[:32]
