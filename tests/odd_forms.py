"""Odd forms of values that another writer may leave, as JSON.

A value that can't be used names nothing, and all others hold.
"""

import json

__all__ = ["ADDRESSES", "BRIEF", "DEPTHS", "FORMS", "NUMBERS", "OBJECTS",
           "PORTS", "TEXTS", "VALUES", "nested", "replaced"]

DIGITS = "9" * 5_000
# Some are near Python's limit, which the stack lowers.
DEPTHS = (50, 65, 985, 1_000, 100_000)


def nested(depth, opened="[", closed="]"):
    """Return the JSON of lists within each other, or of objects."""
    return opened * depth + closed * depth


DEEP = tuple(nested(depth) for depth in DEPTHS) + tuple(
    '{"a":' * depth + "1" + "}" * depth for depth in DEPTHS)
NUMBERS = ("1e400", "-1e400", "NaN", "Infinity", "-Infinity", DIGITS,
           "-" + DIGITS, "1e308", "-1", "-9223372036854775809",
           "9223372036854775807", "9223372036854775808",
           "1000000000000000000000000", "0.5", "-0.0", "true", "false")
TEXTS = tuple(map(json.dumps, (
    "", " ", "a b", "a\nb", "a\0", "\ufffd", "\ud83d", "1e400", "nan",
    DIGITS, "\uff11\uff12", "\u00b2", "\u0663", "x" * 9_000)))
OTHERS = ("null", "[]", "{}", "[null]", '["a"]', '[["a", 1]]', '{"a": 1}',
          '{"a": 1, "a": [2]}')
PORTS = ("99999", "65536", "0", "-1", "1.5", "1e400", DIGITS, "\uff11\uff12",
         "\u00b2", "\u0663", "+80", " 80", "8_0", "")
ADDRESSES = tuple(
    [f"10.0.0.9:{port}" for port in PORTS]
    + ["::1:80", "[::1]:80", "10.0.0.9", ":80", "10.0.0.9 :80", "here:80",
       "10.0.0.256:80", "10.0.0.9:80:80", "\uff11.0.0.9:80", "a@b/c:80"])
VALUES = DEEP + NUMBERS + TEXTS + OTHERS
FORMS = VALUES + tuple(map(json.dumps, ADDRESSES + PORTS[1:]))
# One of each sort, for long tests.
BRIEF = ("1e400", "NaN", "-1", "0.5", "true", "9223372036854775808", DIGITS,
         *(json.dumps(text) for text in ("", "\ud83d", "x", "x" * 9_000)),
         "null", "[]", "{}", '["a"]', '{"a": 1}', DEEP[2], DEEP[-1])
# Whole objects of a store.
OBJECTS = (
    *DEEP, *NUMBERS, *OTHERS, '"x"', '{"Meta": null}', '{"Meta": 7}',
    '{"Meta": {}, "Spec": {}}', '{"Meta": {"Name": 7, "Rev": 1}}',
    '{"Meta": {"Name": "a"}}', '{"Meta": {"Name": "a", "Rev": 1e400}}',
    *('{"Meta": {"Name": %s, "Rev": 1}, "Spec": {}}' % text
      for text in FORMS),
    *('{"Meta": {"Name": "a", "Rev": %s}, "Spec": {}}' % text
      for text in FORMS),
    *('{"Meta": {"Name": "a", "Rev": 1}, "Spec": %s}' % text
      for text in FORMS))


def replaced(value, text):
    """Yield the JSON of a value with each part replaced by ``text``.

    An unknown field is added to each object.
    """
    hole = "\u2205"
    for variant in _with_hole(value, hole):
        yield json.dumps(variant).replace(json.dumps(hole), text)


def _with_hole(value, hole):
    yield hole
    if isinstance(value, dict):
        yield {**value, "Other": hole}
        for name, part in value.items():
            for variant in _with_hole(part, hole):
                yield {**value, name: variant}
    elif isinstance(value, list):
        yield [*value, hole]
        for number, part in enumerate(value):
            for variant in _with_hole(part, hole):
                yield [*value[:number], variant, *value[number + 1:]]
