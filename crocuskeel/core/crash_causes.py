"""Which requests caused crashes, by what was in progress in each of them.

A request that crashes each server which runs it is in progress in all the
crashes that it causes. Others are in progress beside it, some of them twice as
they are retried. So a request is a cause if it was the only one in two crashes
that may have caused them, or if none of those beside it was in as many. The
crashes that a cause explains count against no other request.

A request that was beside several others, one in each of its crashes, may also
be harmless beside as many causes: then any of them may be a cause.
"""

import collections
import dataclasses

__all__ = ["Causes", "MIN_CRASHES", "NO_CAUSES", "attribute"]

# Crashes under one request after which it may be their cause: a server may
# also crash for a reason of its own.
MIN_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Causes:
    """Requests and their numbers of crashes.

    ``culprits`` are causes. ``suspects`` were together in several crashes,
    any of them may be their cause. ``partly_excused`` were in several, of
    which the culprits explain all but one.
    """

    culprits: dict
    suspects: dict
    partly_excused: dict = dataclasses.field(default_factory=dict)
    parts: tuple = ()


NO_CAUSES = Causes({}, {})


def attribute(crashes):
    """Return the Causes of crashes, given as sets of requests."""
    crashes = [set(requests) for requests in crashes]
    repeated = _repeated(crashes)
    culprits = {}
    while True:
        counts = _repeated(crashes)
        found = _only_candidates(counts, crashes) or _most_frequent(
            counts, crashes)
        if not found:
            return Causes(culprits, counts, {
                request: repeated[request] for requests in crashes
                for request in requests & repeated.keys()
                if request not in counts})
        culprits.update(found)
        crashes = [requests for requests in crashes
                   if requests.isdisjoint(found)]


def _repeated(crashes):
    counts = collections.Counter(
        request for requests in crashes for request in requests)
    return {request: count for request, count in counts.items()
            if count >= MIN_CRASHES}


def _only_candidates(counts, crashes):
    """Return the requests that alone may have caused several crashes."""
    alone = collections.Counter()
    for requests in crashes:
        candidates = requests & counts.keys()
        if len(candidates) == 1:
            alone.update(candidates)
    return {request: counts[request] for request, count in alone.items()
            if count >= MIN_CRASHES}


def _most_frequent(counts, crashes):
    """Return the requests that were in more crashes than any beside them."""
    return {request: count for request, count in counts.items()
            if _is_sole(request, count, counts, crashes)
            and not _has_one_rival_each(request, counts, crashes)}


def _is_sole(request, count, counts, crashes):
    """Return whether no request beside this one was in as many crashes."""
    return all(counts.get(other, 0) < count
               for requests in crashes if request in requests
               for other in requests if other != request)


def _has_one_rival_each(request, counts, crashes):
    """Return whether in each of its crashes one other may be the cause.

    Where more requests were beside it, these are often in progress together
    by chance.
    """
    rivals = collections.Counter()
    for requests in crashes:
        if request in requests:
            others = (requests & counts.keys()) - {request}
            if len(others) != 1:
                return False
            rivals.update(others)
    return all(count >= MIN_CRASHES for count in rivals.values())
