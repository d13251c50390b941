"""Reads callers' requests into events."""

import hashlib
import json

from crocuskeel.core import events
from crocuskeel.runtime import exceptions

__all__ = ["chat_request", "plain_request", "token_hash",
           "with_model"]

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
PREFIX_BLOCKS = 4
KEY_BYTES = 8
MAX_KEY_CHARS = 256
MAX_NAME_CHARS = 128
_BEARER = "bearer "


def token_hash(req):
    """Return the SHA-256 of the request's bearer token, hex, or ""."""
    value = req.getHeader("Authorization") or ""
    if value[:len(_BEARER)].lower() != _BEARER:
        return ""
    token = value[len(_BEARER):].strip()
    return hashlib.sha256(token.encode()).hexdigest()


def chat_request(req, rid, token, body):
    """Return the event of an OpenAI request; raises BadRequest."""
    doc = _document(body)
    messages = doc.get("messages")
    if not isinstance(messages, list) or not messages:
        raise exceptions.BadRequest("messages must be a list")
    prompt = _prompt(messages)
    return _event(
        req, rid, token, body,
        model=_text(doc, "model"),
        stream=bool(doc.get("stream")),
        prompt_tokens=max(1, -(-len(prompt) // CHARS_PER_TOKEN)),
        max_tokens=_count(doc, "max_tokens"),
        prefix=_prefix(prompt),
        fingerprint=_digest(prompt.encode()))


def with_model(body, model):
    """Return an OpenAI request's body with another model in it."""
    doc = json.loads(body)
    doc["model"] = model
    return json.dumps(doc).encode()


def plain_request(req, rid, token, body):
    """Return the event of a plain service's request."""
    return _event(
        req, rid, token, body, model="", stream=False, prompt_tokens=0,
        max_tokens=0, prefix=0,
        fingerprint=_digest(req.method, req.uri, body))


def _event(req, rid, token, body, **known):
    return events.RequestArrived(
        rid=rid, token=token, method=req.method.decode("latin-1"),
        path=req.uri.decode("latin-1"),
        class_name=_header(req, "X-Crocuskeel-Class", MAX_NAME_CHARS),
        digest=_digest(req.method, req.uri, body),
        idempotency_key=_header(req, "Idempotency-Key", MAX_KEY_CHARS),
        non_repeatable=_header(
            req, "X-Crocuskeel-Repeatable", MAX_NAME_CHARS) == "no",
        issued_at=_issued_at(req),
        first_sending=_header(
            req, "X-Crocuskeel-First-Sending", MAX_NAME_CHARS) == "yes",
        **known)


def _document(body):
    try:
        doc = json.loads(body)
    except ValueError as exc:
        raise exceptions.BadRequest(f"the body is no JSON: {exc}") from exc
    if not isinstance(doc, dict):
        raise exceptions.BadRequest("the body must be an object")
    return doc


def _text(doc, name):
    value = doc.get(name, "")
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise exceptions.BadRequest(f"{name} must be a short text")
    return value


def _count(doc, name):
    value = doc.get(name) or 0
    if not isinstance(value, int) or value < 0 or value > 2**31:
        raise exceptions.BadRequest(f"{name} must be a count")
    return value


def _header(req, name, limit):
    value = req.getHeader(name) or ""
    if len(value) > limit:
        raise exceptions.BadRequest(
            f"{name} may have {limit} characters")
    return value


def _issued_at(req):
    text = _header(req, "X-Crocuskeel-Issued-At", MAX_NAME_CHARS)
    try:
        return max(0.0, float(text)) if text else 0.0
    except ValueError as exc:
        raise exceptions.BadRequest(
            "X-Crocuskeel-Issued-At must be Unix seconds") from exc


def _prompt(messages):
    # The form in which engines number the blocks of their cache.
    lines = []
    for msg in messages:
        if not isinstance(msg, dict):
            raise exceptions.BadRequest("a message must be an object")
        content = msg.get("content")
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True)
        lines.append(f"{msg.get('role', 'user')}: {content}")
    return "\n".join(lines)


def _prefix(prompt):
    blocks = min(PREFIX_BLOCKS, len(prompt) // BLOCK_CHARS)
    if not blocks:
        return 0
    text = prompt[:blocks * BLOCK_CHARS].encode()
    code = hashlib.blake2b(text, digest_size=KEY_BYTES)
    return int.from_bytes(code.digest())


def _digest(*parts):
    code = hashlib.sha256()
    for part in parts:
        code.update(b"%d:" % len(part))
        code.update(part)
    return code.hexdigest()[:32]
