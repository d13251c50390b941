"""Decodes JSON of which other programs have written parts.

One part that Python can't represent must not hide the others.
"""

import functools
import json
import math
import re

__all__ = ["DECODING_ERRORS", "MAX_VALUES", "TooManyValues", "is_deep",
           "loads"]

# What ``loads`` and a look into its result may raise.
DECODING_ERRORS = (AttributeError, KeyError, OverflowError, RecursionError,
                   TypeError, ValueError)
# Deeper values are replaced by null: they would exceed the stack, here or
# where they are written again.
MAX_DEPTH = 64
# Python refuses integers with many digits, and no field needs more.
MAX_DIGITS = 20
# Values in one document, for processes with little memory: each takes up to
# twenty times as much as its text.
MAX_VALUES = 1 << 18
_TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class TooManyValues(ValueError):
    """A document may have more values than the caller allows."""


def loads(data, max_values=None):
    """Return the value of JSON in bytes; raises ValueError.

    Invalid UTF-8 becomes U+FFFD, an integer of many digits a float, and a
    number that isn't finite null. Raises TooManyValues if it may have more
    than ``max_values``: commas and brackets count, also those within texts.
    """
    if max_values is not None and max_values < sum(
            map(data.count, (b",", b"[", b"{"))):
        raise TooManyValues("too many values")
    text = data.decode("utf-8", "replace")
    try:
        found = _loads(text)
    except RecursionError:
        pass
    else:
        if not is_deep(found):
            return found
    return _loads(_without_deep_values(text))


def _parse_int(text):
    return int(text) if len(text) <= MAX_DIGITS else _parse_float(text)


def _parse_float(text):
    number = float(text)
    return number if math.isfinite(number) else None


_loads = functools.partial(
    json.loads, parse_int=_parse_int, parse_float=_parse_float,
    parse_constant=lambda name: None)


def is_deep(value):
    """Return whether a value is nested deeper than ``loads`` returns."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [part for each in level if type(each) in (dict, list)
                 for part in (each.values() if type(each) is dict else each)
                 if type(part) in (dict, list)]
        if not level:
            return False
    return True


def _without_deep_values(text):
    kept = []
    depth = start = 0
    for token in _TOKENS.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += [text[start:token.start()], "null"]
        elif token[0] in "]}":
            if depth == MAX_DEPTH + 1:
                start = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("unterminated value")
    return "".join([*kept, text[start:]])
