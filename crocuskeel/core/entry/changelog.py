"""What changed in the list of servers, by the list's revisions.

A host that fetches the list from another says which revision it has and
gets what changed since: among 3,000 servers one that changes is told in
0.3 kB, the whole list takes 736 kB. What is kept is bounded; one that is
too far behind gets the whole.
"""

import dataclasses

__all__ = ["Changes", "Log", "note", "note_whole", "since"]

# So many ids of servers that left are kept, some 200 kB: more than leave
# in the minutes that a host may be cut off from all others.
GONE_MOST = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Ids of servers, those that changed and those that left."""

    changed: tuple
    removed: tuple


@dataclasses.dataclass(slots=True)
class Log:
    """The newest change of each server, the oldest first.

    ``begins`` is the revision of the list from which on all is known;
    None while no list is. ``changes`` maps an id to the revision of the
    list that showed its last change; ``gone`` holds, in the same order,
    the ids of those that left.
    """

    begins: int | None = None
    changes: dict = dataclasses.field(default_factory=dict)
    gone: dict = dataclasses.field(default_factory=dict)


def note_whole(log, former, current, revision):
    """Note the whole list of a revision; maps of ids to entries."""
    if log.begins is None:
        log.begins = revision
        return
    changed = [sid for sid, entry in current.items()
               if former.get(sid) != entry]
    removed = [sid for sid in former if sid not in current]
    note(log, changed, removed, revision)


def note(log, changed, removed, revision):
    """Note what changed up to a revision; ids."""
    for sid in (*changed, *removed):
        log.changes.pop(sid, None)
        log.gone.pop(sid, None)
        log.changes[sid] = revision
    for sid in removed:
        log.gone[sid] = revision
    if len(log.gone) > GONE_MOST:
        _forget(log)


def _forget(log):
    """Forget the older half of those that left."""
    for sid in list(log.gone)[:GONE_MOST // 2]:
        log.begins = log.gone.pop(sid)
        del log.changes[sid]


def since(log, revision):
    """Return the Changes after a revision, or None if they aren't known.

    What it costs grows with what changed, not with the list.
    """
    if log.begins is None or revision < log.begins:
        return None
    changed = []
    removed = []
    for sid in reversed(log.changes):
        if log.changes[sid] <= revision:
            break
        (removed if sid in log.gone else changed).append(sid)
    return Changes(tuple(changed), tuple(removed))
