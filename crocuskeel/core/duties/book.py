"""What the holder leaves to the next one, in the lease's object.

The object is only written on its last version, so books follow one
another: a window that was decided in one is decided for all holders
after it, with the same counts, and is reported only once the write that
decided it is known to have taken effect.
"""

import dataclasses

__all__ = ["Book", "read", "write"]


@dataclasses.dataclass(slots=True)
class Book:
    """What the holder has decided, reported and ordered.

    ``done``: all windows up to this one are reported, or given up, but
    for those that are decided still.

    ``decided`` maps a window to its counts, ``asked`` the subject of an
    order to the number of engines that it named.
    """

    done: int | None = None
    decided: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)


def write(book, tables):
    """Return the record of a book and the tables of windows not decided.

    A window that is open when all hosts are lost at once keeps what was
    counted up to the last renewal.
    """
    last = max([book.done or 0, *book.decided])
    return {
        "done": book.done,
        "decided": {str(window): counts
                    for window, counts in book.decided.items()},
        "asked": [[*subject, count]
                  for subject, count in sorted(book.asked.items())],
        "tables": [
            [name, boot, [[window, counts] for window, counts
                          in table.items() if window > last]]
            for (name, boot), table in tables.items()]}


def read(record):
    """Return (book, rows) of a record; rows are (name, boot, rows).

    Raises ValueError if it is none that :func:`write` made.
    """
    if record is None:
        return Book(), []
    try:
        done = record["done"]
        book = Book(
            None if done is None else _number(done),
            {int(window): _counts(counts)
             for window, counts in record["decided"].items()},
            {tuple(row[:-1]): _number(row[-1]) for row in record["asked"]})
        tables = [
            (name, boot, [(_number(window), tuple(_counts(counts).items()))
                          for window, counts in rows])
            for name, boot, rows in record["tables"]]
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ValueError(f"no record of a holder: {exc!r}") from exc
    return book, tables


def _number(value):
    """Return a whole number as it is; raises TypeError for others.

    A holder that took another type over would fail at each step.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(value)
    return value


def _counts(rows):
    return {str(name): _number(count) for name, count in rows.items()}
