"""Changes of the list of servers, by revision of the list.

A host that fetches the list from another host sends the revision that it has
and gets the changes since: with 3,000 servers, one changed server takes
0.3 kB and the full list 736 kB. The log is bounded; a host that is too far
behind gets the full list.
"""

import dataclasses

from crocuskeel.core import revisions

__all__ = ["ChangeLog", "Changes", "changes_since", "record_changes",
           "record_full_list"]

# Maximum number of removed servers' ids that are kept, some 200 kB: more than
# are removed in the minutes that a host may be cut off from all others.
MAX_REMOVED = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Ids of changed servers and of removed ones."""

    changed: tuple
    removed: tuple


@dataclasses.dataclass(slots=True)
class ChangeLog:
    """The last change of each server, oldest first.

    ``first_revision`` is the revision since which the log is complete, None
    while there is no list. ``changes`` maps an id to the revision of the
    list that showed its last change; ``removed`` does so, in the same
    order, for the ids of removed servers. ``last_revision`` is that of the
    newest list. What was logged between the two revisions ``restored`` is
    unknown: the store returned from an older copy, and another host may have
    read more before that.
    """

    first_revision: int | None = None
    last_revision: int = 0
    restored: tuple = ()
    changes: dict = dataclasses.field(default_factory=dict)
    removed: dict = dataclasses.field(default_factory=dict)


def record_full_list(log, former, current, revision):
    """Log a full list; ``former`` and ``current`` map ids to entries."""
    if log.first_revision is None:
        log.first_revision = log.last_revision = revision
        return
    if revisions.era(revision) > revisions.era(log.last_revision):
        if log.restored:
            log.first_revision = max(log.first_revision, log.restored[1])
        log.restored = log.last_revision, revision
    changed = [sid for sid, entry in current.items()
               if former.get(sid) != entry]
    removed = [sid for sid in former if sid not in current]
    record_changes(log, changed, removed, revision)


def record_changes(log, changed, removed, revision):
    """Log the ids of servers that changed up to a revision."""
    log.last_revision = max(log.last_revision, revision)
    for sid in (*changed, *removed):
        log.changes.pop(sid, None)
        log.removed.pop(sid, None)
        log.changes[sid] = revision
    for sid in removed:
        log.removed[sid] = revision
    if len(log.removed) > MAX_REMOVED:
        _discard_removed(log)


def _discard_removed(log):
    """Discard the older half of the removed servers."""
    for sid in list(log.removed)[:MAX_REMOVED // 2]:
        log.first_revision = log.removed.pop(sid)
        del log.changes[sid]


def changes_since(log, revision):
    """Return the Changes after a revision, or None if they aren't known.

    The cost grows with the number of changes, not with the list.
    """
    if log.first_revision is None or revision < log.first_revision:
        return None
    if log.restored and log.restored[0] < revision < log.restored[1]:
        return None
    changed = []
    removed = []
    for sid in reversed(log.changes):
        if log.changes[sid] <= revision:
            break
        (removed if sid in log.removed else changed).append(sid)
    return Changes(tuple(changed), tuple(removed))
