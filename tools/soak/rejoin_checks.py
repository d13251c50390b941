"""The checks of streams that callers take up until their time limit.

All hosts end meanwhile, at once or in turn, and software versions change.
"""

import dataclasses

from tools.soak import checks
from tools.soak import version_checks

__all__ = ["Shares", "check_rejoined", "shares"]

# A host is in touch when it and the store have been undisturbed for, s.
STABLE_S = 3.0
# Of so many tries to take up streams of a version with two servers, at hosts
# in touch, this part of the share of new streams that begin goes on at least;
# of so many tries without the id of an event, this part of it begins anew.
MIN_COUNT = 12
MIN_RELATIVE_SHARE = 0.5
# Why a host refuses a stream of which nobody knows where it began.
UNKNOWN = b"origin unknown"


@dataclasses.dataclass(frozen=True)
class Shares:
    """Whether tries brought events, at hosts in touch.

    ``anew`` are those of streams taken up without the id of an event,
    ``streams`` whether any counted try of a stream that was taken up did.
    """

    began: tuple
    taken_up: tuple
    anew: tuple
    streams: tuple


def check_rejoined(record, one_version):
    """Return violations in the streams of a whole run.

    With ``one_version`` throughout no stream's origin is unknown.
    """
    streams = [sent for sent in record.sent.values()
               if sent.request.kind in checks.STREAMS]
    errors = [*_check_mixed(streams), *_check_events(streams, record),
              *_check_shares(shares(record))]
    if one_version:
        errors += [f"{sent.request.rid}: origin unknown, of one version"
                   for sent in streams if UNKNOWN in sent.reply.body]
    return errors


def _check_mixed(streams):
    tries = {}
    for sent in streams:
        first = sent.request.resumes or sent.request.rid
        tries.setdefault(first, []).extend(
            (sent.request.rid, version) for _, version
            in version_checks.events_of(sent.reply.body))
    return [f"{rid}: a stream of two versions, in the tries "
            + ", ".join(map(" ".join, dict.fromkeys(rows)))
            for rid, rows in tries.items()
            if len({version for _, version in rows}) > 1]


def _check_events(streams, record):
    """No event is missing or comes twice, over all tries of a caller."""
    errors = []
    for sent in streams:
        whole = sent.reply.body.rpartition(b"\n\n")[0]
        if whole and not checks.expected_body(sent.request).startswith(
                version_checks.without_comments(whole + b"\n\n")):
            errors.append(f"{sent.request.rid}: its events don't follow on "
                          f"event {sent.request.last_event}")
    return errors


def shares(record):
    """Return the Shares of a run; tries that callers gave up don't count."""
    began, taken_up, anew, streams = [], [], [], {}
    for sent in record.sent.values():
        found = bool(version_checks.events_of(sent.reply.body))
        if sent.request.kind not in checks.STREAMS or (
                sent.reply.abandoned and not found):
            continue
        if not _is_in_touch(record, sent):
            continue
        if sent.request.resumes:
            if sent.servers_of_version >= 2:
                taken_up.append(found)
                streams[sent.request.resumes] = (
                    found or streams.get(sent.request.resumes, False))
        elif sent.request.is_repeated:
            anew.append(found)
        else:
            began.append(found)
    return Shares(tuple(began), tuple(taken_up), tuple(anew),
                  tuple(streams.values()))


def _is_in_touch(record, sent):
    stopped = any(ip == sent.ip and since <= sent.ended_at
                  and until + STABLE_S >= sent.at
                  for ip, since, until in record.stops)
    return not stopped and record.is_undisturbed(
        sent.at, sent.ended_at, sent.ip, "store", "store " + sent.ip,
        "engines", aftereffect_s=STABLE_S)


def _check_shares(found):
    return [
        f"of {len(rows)} tries to {what} {_share(rows):.2f} did, of new "
        f"streams {_share(found.began):.2f} began"
        for what, rows in (("go on with streams", found.taken_up),
                           ("begin streams anew", found.anew))
        if len(rows) >= MIN_COUNT and found.began
        and _share(rows) < MIN_RELATIVE_SHARE * _share(found.began)]


def _share(rows):
    return sum(rows) / len(rows)
