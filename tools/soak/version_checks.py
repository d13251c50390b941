"""The checks of streams while servers of several software versions serve.

Each event names the version of its writer in a comment. Callers that lost a
stream's connection take the stream up once at any host.
"""

import re

__all__ = ["check_streams", "events_of", "without_comments"]

_EVENT = re.compile(rb"id: (\d+)\n: (\S+)\ndata: [^\n]*\n\n")
_COMMENT = re.compile(rb"^: .*\n", re.MULTILINE)
# So many streams may hold events of two versions.
MAX_MIXED = 2
# Of so many streams that were taken up at undisturbed hosts, while two
# servers of their version served, this part of the share of new streams that
# begin goes on at least.
MIN_TAKEN_UP = 12
MIN_RELATIVE_SHARE = 0.5


def events_of(body):
    """Return the (id, version) of the whole events of a stream's part."""
    return [(int(number), version.decode())
            for number, version in _EVENT.findall(body)]


def without_comments(body):
    """Return a stream's body without the names of versions."""
    return _COMMENT.sub(b"", body)


def check_streams(record, kinds):
    """Return violations in the streams of a whole run."""
    versions, taken_up, began = {}, [], []
    for sent in record.sent.values():
        if sent.request.kind not in kinds or sent.reply is None:
            continue
        found = events_of(sent.reply.body)
        first = sent.request.resumes or sent.request.rid
        versions.setdefault(first, set()).update(
            version for _, version in found)
        if not record.is_undisturbed(sent.at, sent.ended_at, sent.ip,
                                     "store", "store " + sent.ip, "engines"):
            continue
        if not sent.request.resumes:
            began.append(bool(found))
        elif sent.servers_of_version >= 2:
            taken_up.append(bool(found))
    return _check_mixed(versions) + _check_taken_up(taken_up, began)


def _check_mixed(versions):
    mixed = [rid for rid, found in versions.items() if len(found) > 1]
    if len(mixed) <= MAX_MIXED:
        return []
    return [f"{len(mixed)} streams hold events of two versions, as "
            f"{', '.join(mixed[:5])}"]


def _check_taken_up(taken_up, began):
    if len(taken_up) < MIN_TAKEN_UP or not began:
        return []
    share, new_share = (sum(rows) / len(rows) for rows in (taken_up, began))
    if share >= MIN_RELATIVE_SHARE * new_share:
        return []
    return [f"of {len(taken_up)} streams that were taken up {share:.2f} went "
            f"on, of new ones {new_share:.2f} began"]
