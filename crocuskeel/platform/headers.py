"""Headers of callers and backend servers, decoded once."""

import hashlib
import math

from crocuskeel.core.entry import model
from crocuskeel.gateway import dialect

__all__ = ["new_dialect"]

RID = b"X-Crocuskeel-Request-Id"
DEADLINE = b"X-Crocuskeel-Deadline-Ms"
EXPECT_SERVER = b"X-Crocuskeel-Expect-Instance"
WORKSPACE = b"X-Crocuskeel-Tenant"
PRIORITY = b"X-Crocuskeel-Req-Priority"
STAMP = b"X-Crocuskeel-Server-Stamp"
LAST_EVENT = b"Last-Event-Id"
# Where the engine gets what another one holds of the prompt.
FETCH = b"Kv-Fetch"

_RID = RID.lower()
_STAMP = STAMP.lower()
_NOT_RUN = b"x-crocuskeel-not-run"
_LOAD = b"x-crocuskeel-server-load"
# Requests a second that the engine takes from all hosts together.
_RATE_LIMIT = b"server-limit"
# "1" in all answers of an engine that leaves.
_LEAVING = b"server-leaving"
# In a refusal: the engine wants nothing from this host for so many s.
_REST = b"retry-after"
_TOKENS = b"x-crocuskeel-token-count"
# Parts of the prompt with their tokens; the name says hash.
_PARTS = b"x-crocuskeel-prefix-hash"

# Headers that concern one connection only (RFC 9110, 7.6.1), and framing,
# which each connection does anew.
HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect",
    b"proxy-authenticate", b"proxy-authorization"))
# What only this system may tell a server: a caller that sets one of
# these would choose its server, its rank, or another's memory.
OURS = frozenset((
    b"authorization", DEADLINE.lower(), EXPECT_SERVER.lower(),
    WORKSPACE.lower(), PRIORITY.lower(), b"x-crocuskeel-expect-version",
    b"x-crocuskeel-pin-ms", b"x-crocuskeel-hold",
    b"x-crocuskeel-kv-backup", FETCH.lower(), b"kv-from"))

MISDIRECTED = 421
REFUSALS = (429, 503)
URGENCY_LEAST = 9


def new_dialect():
    """Return the platform's Dialect."""
    return dialect.Dialect(
        read_request=_read_request, server_headers=_server_headers,
        judge=_judge, load=_load, hints=_hints, stamped=_stamped,
        answer_headers=_answer_headers)


def _read_request(head, body):
    host = (head.get(b"host") or b"").decode("latin-1")
    return model.Request(
        rid=(head.get(_RID) or b"").decode("latin-1"),
        method=head.method.decode("latin-1"),
        host=host.partition(":")[0].lower(),
        path=head.target.decode("latin-1"),
        api_key=_api_key(head), deadline_s=_deadline_s(head),
        prompt=_prompt(head), digest=_digest(head, body))


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


def _prompt(head):
    tokens = (head.get(_TOKENS) or b"").decode("latin-1")
    counts = [part.strip() for part in tokens.split(",")]
    if len(counts) != 2 or not all(map(str.isdigit, counts)):
        return None
    parts = (head.get(_PARTS) or b"").decode("latin-1")
    return model.Prompt(
        tuple(_parts(parts)), int(counts[0]), int(counts[1]))


def _parts(text):
    for row in text.split(","):
        name, _, tokens = row.strip().partition(":")
        if name and tokens.isdigit():
            yield name, int(tokens)


def _digest(head, body):
    """Return what a request that crashes servers is known by."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (head.method, head.target,
                 head.get(b"authorization") or b"", body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _kept(head, left_out):
    named = (head.get(b"connection") or b"").lower().split(b",")
    listed = {name.strip() for name in named}
    return [(name, value) for name, value in head.headers
            if name.lower() not in left_out
            and name.lower() not in listed]


def _server_headers(head, send, last_event):
    left_out = HOP | OURS
    if send.resume and last_event is not None:
        left_out = left_out | {LAST_EVENT.lower()}
    headers = _kept(head, left_out)
    if send.resume and last_event is not None:
        headers.append((LAST_EVENT, b"%d" % last_event))
    headers.append((DEADLINE, b"%d" % int(send.budget_s * 1000)))
    headers.append((EXPECT_SERVER, send.server.sid.encode()))
    if send.workspace:
        headers.append((WORKSPACE, send.workspace.encode()))
    if send.fetch_from is not None:
        headers.append((FETCH, "{}:{}".format(*send.fetch_from).encode()))
    urgency = min(URGENCY_LEAST, max(0, send.priority))
    headers.append((PRIORITY, b"%d" % urgency))
    return headers


def _judge(request, head):
    if head.get(_NOT_RUN) is not None:
        return dialect.Verdict.NOT_RUN
    if head.status == MISDIRECTED:
        return dialect.Verdict.MISDIRECTED
    rid = head.get(_RID)
    if rid is not None and rid.decode("latin-1") != request.rid:
        return dialect.Verdict.FOREIGN
    if head.get(b"content-encoding") is not None:
        return dialect.Verdict.GARBLED
    if head.status < 300 and (rid is None or not _stamped(head)):
        return dialect.Verdict.GARBLED
    return dialect.Verdict.ANSWER


def _stamped(head):
    return head.get(_STAMP) is not None


def _load(head):
    text = (head.get(_LOAD) or b"").decode("latin-1")
    counts = [part.strip() for part in text.split(",")]
    if len(counts) != 3 or not all(map(str.isdigit, counts)):
        return None
    return tuple(map(int, counts))


def _hints(head):
    rest_s = None
    if head.status in REFUSALS:
        rest_s = _number(head.get(_REST))
    return model.Hints(_number(head.get(_RATE_LIMIT)),
                       (head.get(_LEAVING) or b"").strip() == b"1", rest_s)


def _number(value):
    """Return a header's number, None if it is no finite one from zero."""
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _answer_headers(head, keep_stamp):
    left_out = HOP if keep_stamp else HOP | {_STAMP}
    return _kept(head, left_out)
