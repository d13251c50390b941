"""What a host knows of prompt parts: lost with their requests, or sound.

A part is known by its id, the service and the model: other models don't share
it, and all workspaces do. A part that one workspace names in order to have it
refused for others is sound in their answers.
"""

import functools
import hashlib
import math

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import effects

__all__ = ["forget", "keys_of", "may_have_crashed", "merge_parts",
           "merge_sound", "note_lost_parts", "note_sound", "sound_report"]

# A server that crashes on a part does so as it begins to answer. One that has
# written for this long, s, did not crash on the prompt.
BEGINNING_S = 1.0
# Limit of the parts that are kept and reported of a lost request.
MAX_LOST_PARTS = 16
MAX_LOST = 1024
# Most parts are in use at most servers; those that are answered often stay.
MAX_SOUND = 2048
KEY_BYTES = 5
# A later proof counts as news from this on, s: clocks and delays make the
# times of one fact differ between hosts.
MIN_NEWER_S = 0.2


@functools.lru_cache(maxsize=4096)
def _key(service, model_name, part):
    text = "\0".join((service, model_name, part))
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def keys_of(service, prompt):
    """Return the keys of the parts that other prompts may have."""
    if prompt is None:
        return ()
    return tuple(_key(service, prompt.model, part)
                 for part in prompt.shared_ids)


def may_have_crashed(attempt, now):
    """Return whether a server may have crashed on the prompt of an attempt."""
    return now - attempt.opened_at < BEGINNING_S


def note_lost_parts(host, digest, keys, at):
    """Record the parts of a lost request; return those that are kept.

    Parts of which no prompt was answered come first.
    """
    if not keys:
        return ()
    known = host.crash_records
    if len(keys) > MAX_LOST_PARTS:
        keys = sorted(keys, key=lambda key: (key in known.sound, key))
    keys = tuple(keys[:MAX_LOST_PARTS])
    _add(known, digest, keys, at)
    return keys


def _add(known, digest, keys, at):
    """Add parts of a lost request; return whether any is new."""
    known.parts_lost_at = max(known.parts_lost_at, at)
    former = known.parts.get(digest, ())
    found = tuple(dict.fromkeys((*former, *keys)))[:MAX_LOST_PARTS]
    if found == former or len(known.parts) >= 2 * MAX_LOST:
        return False
    known.parts[digest] = found
    known.candidates.update(found)
    known.causes = None
    return True


def forget(host):
    """Drop the parts of requests that no loss and no crash refers to.

    Of too many the oldest ones go, but for those lost in crashes that a part
    explains.
    """
    known = host.crash_records
    if not known.parts:
        return
    used = {loss.digest for loss in known.losses}
    needed = set()
    for incarnation, crash in known.crashes.items():
        explained = crash_attribution.is_explained_by_part(host, incarnation)
        (needed if explained else used).update(crash.lost)
    others = [digest for digest in known.parts if digest not in needed]
    kept = [digest for digest in others if digest in used][-MAX_LOST:]
    dropped = set(others).difference(kept)
    for digest in dropped:
        del known.parts[digest]
    if dropped:
        known.candidates = {
            key for found in known.parts.values() for key in found}


def note_sound(host, keys, begun_at):
    """Record that prompts with parts were answered well.

    ``begun_at`` is when the server had begun the answer. Returns the parts
    that may have been lost since they were last known to be sound.
    """
    known = host.crash_records
    cleared = []
    for key in keys:
        former = known.sound.get(key, -math.inf)
        known.sound[key] = max(former, begun_at)
        known.sound.move_to_end(key)
        if (key in known.candidates and former < known.parts_lost_at
                and begun_at >= former + MIN_NEWER_S):
            cleared.append(key)
    while len(known.sound) > MAX_SOUND:
        known.sound.popitem(last=False)
    if cleared:
        known.causes = None
    return tuple(cleared)


def merge_parts(host, report, now):
    """Merge the parts of a request that another host lost.

    The row on its loss comes before that.
    """
    known = host.crash_records
    if not any(loss.digest == report.digest for loss in known.losses) and (
            not any(report.digest in crash.lost
                    for crash in known.crashes.values())):
        return None
    is_new = _add(known, report.digest, report.parts, report.at)
    return [] if is_new else None


def merge_sound(host, report, now):
    """Merge parts that another host found to be sound."""
    known = host.crash_records.sound
    newer = tuple(key for key in report.parts if report.at >= known.get(
        key, -math.inf) + MIN_NEWER_S)
    if not newer:
        return None
    cleared = note_sound(host, newer, report.at)
    return [effects.LogEvent("parts_sound", {"parts": cleared})
            ] if cleared else []


def sound_report(host, keys):
    """Return a report on those parts that are known to have been sound.

    A host that has answered no prompt with a part can't tell it from a new
    one.
    """
    sound = host.crash_records.sound
    found = tuple(key for key in keys if key in sound)
    if not found:
        return None
    return records.Report(records.Kind.SOUND,
                          min(sound[key] for key in found), parts=found)
