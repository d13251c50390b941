"""Conversion between core messages and protobuf frames."""

import dataclasses
import functools
import re
import typing

from crocuskeel.core import messages
from crocuskeel.wire import crocuskeel_pb2 as pb
from crocuskeel.wire import exceptions

__all__ = ["from_frame", "to_frame"]

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


def _snake_case(name):
    return _WORD_START.sub("_", name).lower()


_MESSAGE_TYPES = {_snake_case(message_type.__name__): message_type
                  for message_type in typing.get_args(messages.Message)}
_FRAME_FIELDS = {message_type: name
                 for name, message_type in _MESSAGE_TYPES.items()}


@functools.cache
def _field_plan(message_type):
    # One (field name, nested message class or None, is a tuple) per field.
    hints = typing.get_type_hints(message_type)
    plan = []
    for field in dataclasses.fields(message_type):
        hint = hints[field.name]
        is_tuple = typing.get_origin(hint) is tuple
        item = typing.get_args(hint)[0] if is_tuple else hint
        nested_type = item if dataclasses.is_dataclass(item) else None
        plan.append((field.name, nested_type, is_tuple))
    return tuple(plan)


def _encode(message):
    message_type = type(message)
    values = {}
    for name, nested_type, is_tuple in _field_plan(message_type):
        value = getattr(message, name)
        if nested_type is not None and is_tuple:
            value = [_encode(item) for item in value]
        elif nested_type is not None:
            value = _encode(value)
        values[name] = value
    return getattr(pb, message_type.__name__)(**values)


def _decode(message_type, body):
    values = {}
    for name, nested_type, is_tuple in _field_plan(message_type):
        value = getattr(body, name)
        if nested_type is not None and is_tuple:
            value = tuple(_decode(nested_type, item) for item in value)
        elif nested_type is not None:
            value = _decode(nested_type, value)
        elif is_tuple:
            value = tuple(value)
        values[name] = value
    return message_type(**values)


def to_frame(message):
    """Return the protobuf ``Frame`` of a core message."""
    return pb.Frame(**{_FRAME_FIELDS[type(message)]: _encode(message)})


def from_frame(frame):
    """Return the core message of a ``Frame``.

    Raises :class:`BadMessage` for a type unknown to this version.
    """
    name = frame.WhichOneof("body")
    if name is None:
        raise exceptions.BadMessage("frame has no known message type")
    return _decode(_MESSAGE_TYPES[name], getattr(frame, name))
