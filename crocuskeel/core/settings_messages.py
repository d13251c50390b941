"""Messages between entry hosts about the settings in force."""

import dataclasses

__all__ = ["PartAnswer", "PartAsk", "SettingsAnswer", "SettingsAsk",
           "SettingsVouch", "SettingsVouchAsk"]

_message = dataclasses.dataclass(frozen=True, slots=True)


@_message
class SettingsAsk:
    """Ask a peer for the changes from ``have`` to its generation."""

    have: int


@_message
class SettingsAnswer:
    """A peer's generation, with the stored objects to reach it.

    ``head`` is the stored head object; ``deltas`` are the stored delta
    objects from ``base`` + 1 on, in order, or empty if the requester is
    too far behind; it then requests the parts named by the head one by one.
    """

    generation: int
    base: int = 0
    head: bytes = b""
    deltas: tuple[bytes, ...] = ()


@_message
class SettingsVouchAsk:
    """Ask a peer which generations it knows to have been in force.

    A host that has restarted asks this while it can't read the head.
    ``round_id`` identifies the process that asks; ``live_digest`` is that
    of its live hosts.
    """

    round_id: int
    live_digest: int = 0


@_message
class SettingsVouch:
    """The answer to :class:`SettingsVouchAsk`.

    ``round_id`` is repeated from the request. ``recovered`` is False if the
    sender has itself restarted and can't tell yet. No generation newer than
    ``floor`` came into force with the help of the sender or of the hosts in
    ``gone``. ``held`` is the newest one that is complete at the sender.
    ``absent`` are hosts out of reach that the sender can't answer for,
    ``live`` its live hosts if their digest differs from that of the
    request. A host that leaves sends this unasked, with ``leaving``: it
    takes part in no newer generation.
    """

    round_id: int
    recovered: bool
    floor: int
    held: int = 0
    absent: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    live: tuple[str, ...] = ()
    leaving: bool = False


@_message
class PartAsk:
    """Ask a peer for one content-addressed part."""

    digest: str


@_message
class PartAnswer:
    """One content-addressed part; ``data`` is empty if not stored here."""

    digest: str
    data: bytes = b""
