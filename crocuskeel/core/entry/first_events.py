"""Decides when the first event of a stream is forwarded.

From then on the caller may take the stream up at any host, so that the store
has to know by then where it began, unless every host would take it to have
begun there (stream_log).

A first event waits no longer than MAX_WAIT_S if no other version serves that
could go on with the stream and the store has taken nothing for NONE_TAKEN_S,
nor than MAX_UNKNOWN_WAIT_S if there is no default version. It waits where
several versions serve and this host doesn't know the default one
(told_records), and where most hosts weren't heard meanwhile: a cut may not
have been noticed, and they may list another version again. It doesn't wait at
all if one version served.

Load: a look at each stream that waits, each RECHECK_S; none with one version.
"""

from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import version_history

__all__ = ["MAX_UNKNOWN_WAIT_S", "MAX_WAIT_S", "NONE_TAKEN_S", "RECHECK_S",
           "may_forward", "may_go_elsewhere", "must_log"]

# First events wait for so long, s, if no other version serves, and if there
# is no default version: nobody takes them for streams of another one then.
MAX_WAIT_S = 0.5
MAX_UNKNOWN_WAIT_S = 1.0
# A store takes none if a write failed and none was done for so long, s.
NONE_TAKEN_S = 1.0
# A first event that waits is looked at again after this, s.
RECHECK_S = 0.1


def must_log(host, pending, origin, now):
    """Return whether the store has to know where a stream began.

    Another host that the request was relayed to may have begun it elsewhere.
    """
    return (version_history.must_log(host, origin, now)
            or origins.leads_elsewhere(pending, origin.service)
            or any(attempt.relayed for attempt in pending.attempts))


def may_forward(host, pending, now):
    """Return whether the first event of a stream may be forwarded.

    One that is not written yet may be if no other version can go on with it
    while the store takes nothing, or nobody takes it for another one's.
    """
    origin = pending.log_origin
    if origin is None or not must_log(host, pending, origin, now):
        return True
    if version_history.is_unrecorded(host, origin, now):
        return False
    if not pending.unlogged:
        return True
    opened_at = pending.attempts[pending.waiting_attempt].opened_at
    waited_s = now - opened_at
    if version_history.default(host, origin.service) is None:
        versions = origins.versions_of(host, origin.service, now)
        is_overdue = waited_s >= MAX_UNKNOWN_WAIT_S
        if len(versions) == 1 and not may_go_elsewhere(host, pending):
            return True
        return is_overdue and (
            len(versions) == 1
            or version_history.has_no_default(host, origin))
    if any(state.server.version != origin.version
           for state in host.by_service.get(origin.service, ())):
        return False
    return (waited_s >= MAX_WAIT_S and _takes_no_writes(host, now)
            and fleet.is_surely_in_touch(host, now, opened_at)
            and not may_go_elsewhere(host, pending))


def may_go_elsewhere(host, pending):
    """Return whether another service could go on with a stream."""
    service = pending.origin.service
    return origins.leads_elsewhere(pending, service) and any(
        host.by_service.get(other) for other, _ in pending.route.split
        if other != service)


def _takes_no_writes(host, now):
    """Return whether writes fail, and none was done of late.

    Those of a slow store, or one that answers some, will be done.
    """
    log = host.streams.log
    return bool(log.write_failures or log.is_failing) and (
        now >= log.taken_at + NONE_TAKEN_S)
