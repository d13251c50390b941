"""Decodes and writes headers of callers and backend servers."""

import hashlib
import math
import urllib.parse

from crocuskeel.core.entry import model
from crocuskeel.gateway import header_codec

__all__ = ["new_header_codec"]

REQUEST_ID = b"X-Crocuskeel-Request-Id"
DEADLINE = b"X-Crocuskeel-Deadline-Ms"
EXPECT_SERVER = b"X-Crocuskeel-Expect-Instance"
WORKSPACE = b"X-Crocuskeel-Tenant"
PRIORITY = b"X-Crocuskeel-Req-Priority"
SERVER_STAMP = b"X-Crocuskeel-Server-Stamp"
LAST_EVENT = b"Last-Event-Id"
# Id of the caller's request that brought the first event of a stream.
RESUMES = b"Resumes"
# Address of the engine that holds the KV cache of a part of the prompt.
KV_FETCH = b"Kv-Fetch"

# From another host: the number of servers that the request may be sent to.
RELAY = b"X-Crocuskeel-Relay-Servers"
# Likewise: where the stream to go on began, as quoted service/version.
RELAY_ORIGIN = b"X-Crocuskeel-Relay-Origin"

_REQUEST_ID = REQUEST_ID.lower()
_SERVER_STAMP = SERVER_STAMP.lower()
_NOT_RUN = b"x-crocuskeel-not-run"
# Id of the engine that answers at the address.
_SERVER = b"x-crocuskeel-instance"
_LOAD = b"x-crocuskeel-server-load"
# Requests per second that the engine accepts from all hosts together.
_RATE_LIMIT = b"server-limit"
# "1" in all answers of an engine that is shutting down.
_LEAVING = b"server-leaving"
# In all answers of an engine that ends if it refuses more requests a second.
_BRITTLE = b"server-brittle"
# In a refusal: seconds for which the engine wants no request of this host.
_RETRY_AFTER = b"retry-after"
_TOKENS = b"x-crocuskeel-token-count"
# Parts of the prompt and their tokens, as name:tokens. The header's name says
# hash, as the names are hashes.
_PARTS = b"x-crocuskeel-prefix-hash"
_MODEL = b"x-crocuskeel-model"

# Hop-by-hop headers (RFC 9110, 7.6.1), and those of the framing, which each
# connection sets itself.
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect",
    b"proxy-authenticate", b"proxy-authorization"))
# Headers that only this system may send to a server: a caller that sets one
# could choose its server, its priority, or another caller's cached data.
RESERVED = frozenset((
    b"authorization", DEADLINE.lower(), EXPECT_SERVER.lower(),
    WORKSPACE.lower(), PRIORITY.lower(), b"x-crocuskeel-expect-version",
    b"x-crocuskeel-pin-ms", b"x-crocuskeel-hold",
    b"x-crocuskeel-kv-backup", KV_FETCH.lower(), b"kv-from", RELAY.lower(),
    RELAY_ORIGIN.lower()))

FIRST_ERROR = 400
MISDIRECTED = 421
REFUSALS = (429, 503)
MAX_PRIORITY = 9
# No count of tokens, requests or slots in a header has more digits.
MAX_DIGITS = 9
MAX_PART_CHARS = 64


def new_header_codec():
    """Return the platform's HeaderCodec."""
    return header_codec.HeaderCodec(
        read_request=_read_request, server_headers=_server_headers,
        classify=_classify, classify_relayed=_classify_relayed,
        load=_server_load, hints=_server_hints,
        stamped=_is_stamped, answer_headers=_answer_headers,
        id_headers=_id_headers, server_id=_server_id)


def _read_request(head, body):
    host = (head.get(b"host") or b"").decode("latin-1")
    return model.Request(
        rid=(head.get(_REQUEST_ID) or b"").decode("latin-1"),
        method=head.method.decode("latin-1"),
        host=host.partition(":")[0].lower(),
        path=head.target.decode("latin-1"),
        api_key=_api_key(head), deadline_s=_deadline_s(head),
        prompt=_prompt(head), digest=_digest(head, body),
        max_servers=_max_servers(head),
        last_event_id=_text(head, LAST_EVENT), resumes=_resumes(head),
        relay_origin=_relay_origin(head))


def _text(head, name):
    return (head.get(name.lower()) or b"").decode("latin-1").strip()


def _resumes(head):
    """Return the id of the request that began a stream, or "".

    Raises ValueError if there are two: only one of them can have.
    """
    found = {value.strip() for name, value in head.headers
             if name.lower() == RESUMES.lower()}
    if len(found) > 1:
        raise ValueError(f"{RESUMES.decode()}: more than one request")
    return _text(head, RESUMES)


def _relay_origin(head):
    service, _, version = _text(head, RELAY_ORIGIN).partition("/")
    if not service or _max_servers(head) is None:
        return None
    return model.Origin(urllib.parse.unquote(service),
                        urllib.parse.unquote(version))


def _api_key(head):
    scheme, _, key = (head.get(b"authorization") or b"").partition(b" ")
    if scheme.lower() != b"bearer":
        return ""
    return key.strip().decode("latin-1")


def _deadline_s(head):
    text = head.get(DEADLINE.lower())
    if text is None:
        return None
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise ValueError(f"{DEADLINE.decode()}: not a number") from None


def _max_servers(head):
    text = (head.get(RELAY.lower()) or b"").decode("latin-1")
    return max(1, int(text)) if _is_count(text) else None


def _prompt(head):
    tokens = (head.get(_TOKENS) or b"").decode("latin-1")
    counts = [part.strip() for part in tokens.split(",")]
    if len(counts) != 2 or not all(map(_is_count, counts)):
        return None
    parts = (head.get(_PARTS) or b"").decode("latin-1")
    return model.Prompt(
        tuple(_parse_parts(parts)), int(counts[0]), int(counts[1]),
        _text(head, _MODEL))


def _is_count(text):
    # str.isdigit accepts superscripts, for which int raises an error.
    return (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS)


def _parse_parts(text):
    for row in text.split(","):
        name, _, tokens = row.strip().partition(":")
        if name and _is_count(tokens):
            yield _part_id(name), int(tokens)


def _part_id(name):
    """Return what identifies a part, which hosts remember and tell.

    Callers send short hashes, but may send anything that a header holds.
    """
    if len(name) <= MAX_PART_CHARS:
        return name
    return hashlib.blake2b(name.encode("latin-1"), digest_size=16).hexdigest()


def _digest(head, body):
    """Return the digest that identifies requests that crash servers."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (head.method, head.target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _filter_headers(head, excluded):
    connection_header = (head.get(b"connection") or b"").lower().split(b",")
    hop_by_hop = {name.strip() for name in connection_header}
    return [(name, value) for name, value in head.headers
            if name.lower() not in excluded
            and name.lower() not in hop_by_hop]


def _own_headers(head, excluded, send, last_event_id):
    """Return a request's own headers; a stream resumes after an event."""
    if not send.resume or last_event_id is None:
        return _filter_headers(head, excluded)
    return [*_filter_headers(head, excluded | {LAST_EVENT.lower()}),
            (LAST_EVENT, b"%d" % last_event_id)]


def _server_headers(head, send, last_event_id):
    if send.relay_servers is not None:
        return _relay_headers(head, send, last_event_id)
    headers = _own_headers(
        head, HOP_BY_HOP | RESERVED, send, last_event_id)
    headers.append((DEADLINE, b"%d" % int(send.budget_s * 1000)))
    headers.append((EXPECT_SERVER, send.server.sid.encode()))
    if send.workspace:
        headers.append((WORKSPACE, send.workspace.encode()))
    if send.fetch_from is not None:
        headers.append((KV_FETCH, "{}:{}".format(*send.fetch_from).encode()))
    priority = min(MAX_PRIORITY, max(0, send.priority))
    headers.append((PRIORITY, b"%d" % priority))
    return headers


def _relay_headers(head, send, last_event_id):
    """Return the headers of a request to another host: the caller's own."""
    headers = _own_headers(
        head, HOP_BY_HOP | {DEADLINE.lower(), RELAY.lower(),
                            RELAY_ORIGIN.lower()}, send, last_event_id)
    headers.append((DEADLINE, b"%d" % int(send.budget_s * 1000)))
    headers.append((RELAY, b"%d" % send.relay_servers))
    if send.relay_origin is not None:
        origin = (send.relay_origin.service, send.relay_origin.version)
        headers.append((RELAY_ORIGIN, "/".join(
            urllib.parse.quote(part, safe="") for part in origin).encode()))
    return headers


def _classify_relayed(request, head):
    if _is_stamped(head) or head.get(_REQUEST_ID) is not None:
        return _classify(request, head)
    # The other host answers for itself: it has not run the request, unless
    # it reports a failure.
    if head.status in REFUSALS or FIRST_ERROR <= head.status < 500:
        return header_codec.Verdict.NOT_RUN
    if head.status >= 500:
        return header_codec.Verdict.ANSWER
    return header_codec.Verdict.MALFORMED


def _classify(request, head):
    rid = head.get(_REQUEST_ID)
    if rid is not None and rid.decode("latin-1") != request.rid:
        # What it says of not having run is said of another request.
        return header_codec.Verdict.WRONG_REQUEST
    if _says_not_run(head):
        if head.status < FIRST_ERROR:
            return header_codec.Verdict.MALFORMED
        if head.status == MISDIRECTED:
            return header_codec.Verdict.MISDIRECTED
        return header_codec.Verdict.NOT_RUN
    if head.get(b"content-encoding") is not None:
        return header_codec.Verdict.MALFORMED
    if head.status < 300 and (rid is None or not _is_stamped(head)):
        return header_codec.Verdict.MALFORMED
    return header_codec.Verdict.ANSWER


def _says_not_run(head):
    """Return whether the engine says that it did not run the request.

    Besides the header, only 421 without an engine's stamp does. Any other
    status may be an engine's failure after it has run the request.
    """
    return head.get(_NOT_RUN) is not None or (
        head.status == MISDIRECTED and not _is_stamped(head))


def _server_id(head):
    value = head.get(_SERVER)
    return None if value is None else value.decode("utf-8", "replace")


def _is_stamped(head):
    return head.get(_SERVER_STAMP) is not None


def _server_load(head):
    """Return (running, waiting, slots, work_percent), None if invalid.

    Some engines add the fourth figure: how long work takes there at this
    moment, as a percentage of the usual time.
    """
    text = (head.get(_LOAD) or b"").decode("latin-1")
    counts = [part.strip() for part in text.split(",")]
    if len(counts) not in (3, 4) or not all(map(_is_count, counts)):
        return None
    running, waiting, slots, *rest = map(int, counts)
    work_percent = rest[0] if rest else 100
    return (running, waiting, slots, work_percent) if work_percent else None


def _server_hints(head):
    rest_s = None
    if head.status in REFUSALS:
        rest_s = _number(head.get(_RETRY_AFTER))
    return model.Hints(_number(head.get(_RATE_LIMIT)),
                       (head.get(_LEAVING) or b"").strip() == b"1", rest_s,
                       head.get(_BRITTLE) is not None)


def _number(value):
    """Return a header's value as a finite number >= 0, or None."""
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _answer_headers(head, keep_stamp):
    excluded = HOP_BY_HOP if keep_stamp else HOP_BY_HOP | {_SERVER_STAMP}
    return _filter_headers(head, excluded)


def _id_headers(request, head):
    # The host that relays a request tells an engine's answer by its id from
    # one of this host's own, which says that the request has not run.
    if request.max_servers is None or head.get(_REQUEST_ID) is not None:
        return []
    return [(REQUEST_ID, request.rid.encode("latin-1"))]
