"""The record that a holder hands over to the next one in the lease object.

The object is only written conditionally, on its latest version, so each
record is based on the previous one. A window that is decided in one, that
is whose counts are final, stays decided for all later holders with the
same counts. It is reported only once the write that decided it is known
to have taken effect.
"""

import dataclasses

from crocuskeel.core.duties import model

__all__ = ["HandoverState", "read", "write"]

# Sums of thousands of counts fit the 64-bit integers of a datagram.
MAX_COUNT = 1 << 52
MAX_BOOT = (1 << 63) - 1


@dataclasses.dataclass(slots=True)
class HandoverState:
    """What the holder has decided, reported and ordered.

    ``done``: all windows up to this one were reported or given up, except
    those that are still in ``decided``.

    ``decided`` maps a window to its counts, ``asked`` the subject of an
    order to the number of engines that it asked for.
    """

    done: int | None = None
    decided: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)


def write(state, tables):
    """Return the record of a HandoverState and the undecided counts.

    If all hosts are lost at once, the windows that are not decided yet
    keep what was counted up to the last renewal.
    """
    last = max([state.done or 0, *state.decided])
    return {
        "done": state.done,
        "decided": {str(window): counts
                    for window, counts in state.decided.items()},
        "asked": [[*subject, count]
                  for subject, count in sorted(state.asked.items())],
        "tables": [
            [name, boot, [[window, counts] for window, counts
                          in table.items() if window > last]]
            for (name, boot), table in tables.items()]}


def read(record):
    """Return the HandoverState of a record and its (name, boot, rows).

    Raises ValueError for a record that :func:`write` can't have made.
    """
    if record is None:
        return HandoverState(), []
    try:
        done = record["done"]
        state = HandoverState(
            None if done is None else _integer(done),
            {_integer(int(window)): _counts(counts)
             for window, counts in record["decided"].items()},
            dict(_asked(*row) for row in record["asked"]))
        tables = [
            (_text(name), _integer(boot, MAX_BOOT), [
                (_integer(window), tuple(_counts(counts).items()))
                for window, counts in rows])
            for name, boot, rows in record["tables"]]
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ValueError(f"invalid holder record: {exc!r}") from exc
    return state, tables


def _asked(kind, service, domain, spot, count):
    """Return the subject of an order and what it asked for."""
    subject = model.Order(_text(service), _text(domain), spot, 0).subject
    if kind != subject[0] or not isinstance(spot, bool):
        raise ValueError("invalid order")
    return subject, _integer(count)


def _integer(value, most=MAX_COUNT):
    """Return a count unchanged; raise ValueError for anything else.

    A holder that took over a value of another type would fail at each
    step.
    """
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(value)
    return value


def _text(value):
    if not (isinstance(value, str) and value.isprintable()):
        raise ValueError("invalid text")
    return value


def _counts(rows):
    return {_text(name): _integer(count) for name, count in rows.items()}
