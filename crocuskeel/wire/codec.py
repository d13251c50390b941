"""Core messages to protobuf frames and back, field by field."""

import dataclasses
import functools
import re
import typing

from crocuskeel.core import messages
from crocuskeel.wire import crocuskeel_pb2 as pb
from crocuskeel.wire import exceptions

__all__ = ["from_frame", "to_frame"]

_CAMEL = re.compile(r"(?<!^)(?=[A-Z])")


def _snake(name):
    return _CAMEL.sub("_", name).lower()


_KINDS = {_snake(kind.__name__): kind
          for kind in typing.get_args(messages.Message)}
_FIELD_OF = {kind: name for name, kind in _KINDS.items()}


@functools.cache
def _plan(kind):
    # (field name, nested message class or None, is a tuple) a field.
    hints = typing.get_type_hints(kind)
    plan = []
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        many = typing.get_origin(hint) is tuple
        item = typing.get_args(hint)[0] if many else hint
        nested = item if dataclasses.is_dataclass(item) else None
        plan.append((field.name, nested, many))
    return tuple(plan)


def _encode(message):
    kind = type(message)
    values = {}
    for name, nested, many in _plan(kind):
        value = getattr(message, name)
        if nested is not None and many:
            value = [_encode(item) for item in value]
        elif nested is not None:
            value = _encode(value)
        values[name] = value
    return getattr(pb, kind.__name__)(**values)


def _decode(kind, body):
    values = {}
    for name, nested, many in _plan(kind):
        value = getattr(body, name)
        if nested is not None and many:
            value = tuple(_decode(nested, item) for item in value)
        elif nested is not None:
            value = _decode(nested, value)
        elif many:
            value = tuple(value)
        values[name] = value
    return kind(**values)


def to_frame(message):
    """Return the protobuf ``Frame`` that carries a core message."""
    return pb.Frame(**{_FIELD_OF[type(message)]: _encode(message)})


def from_frame(frame):
    """Return the core message in a ``Frame``.

    Raises :class:`BadMessage` for a kind this version does not know.
    """
    name = frame.WhichOneof("body")
    if name is None:
        raise exceptions.BadMessage("a frame of no known kind")
    return _decode(_KINDS[name], getattr(frame, name))
