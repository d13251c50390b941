"""Decodes objects of the platform's store into the core's types."""

import hashlib
import ipaddress

from crocuskeel.core.entry import model
from crocuskeel.platform import exceptions

__all__ = ["is_count", "is_name", "is_port", "is_software_version", "name",
           "peer", "peer_spec", "server", "server_record", "trimmed_server",
           "writes_records"]

READY = "ready"
DRAINING = "draining"
# Counts fit the 64-bit integers of the store, ports 16 bits.
MAX_COUNT = 2 ** 63 - 1
MAX_PORT = 65535
# Longest name of an object, a service or a failure domain.
MAX_NAME_CHARS = 253
# Bounds of what one server or host may claim to be, and the longest warm-up,
# ms.
MAX_SLOTS = 2 ** 31 - 1
MAX_CORES = 4096
MAX_WARMUP_MS = 24 * 3600 * 1000
MAX_VERSION_CHARS = 64
MAX_PORT_DIGITS = 5
# A host that restarts keeps its address and its entry, which is written once;
# the boot number comes with its datagrams.
UNKNOWN_BOOT = 0


def is_name(value):
    """Return whether a value can be the name of something.

    Names are written to headers, datagrams and logs, and hashed: they are
    text that has bytes in UTF-8, on one line. Bytes that could not be read
    are U+FFFD, which may stand for different names.
    """
    return (isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS
            and value.isprintable() and value == value.strip()
            and "\ufffd" not in value)


def name(obj):
    """Return an object's name; raises InvalidObjectError if it has none."""
    try:
        found = obj["Meta"]["Name"]
    except (KeyError, TypeError) as exc:
        raise exceptions.InvalidObjectError(
            f"object has no name: {exc!r}") from exc
    if not is_name(found):
        raise exceptions.InvalidObjectError(
            f"object has no valid name: {str(found)[:MAX_NAME_CHARS]!a}")
    return found


def server(obj):
    """Return the Server that an entry of the store describes.

    Raises InvalidObjectError if a field is missing or has another type; other
    programs write entries too.
    """
    sid = name(obj)
    spec = _server_spec(obj, sid)
    for field, is_valid in SERVER_FIELDS.items():
        if not is_valid(spec.get(field)):
            raise exceptions.InvalidObjectError(
                f"server {sid}: invalid {field}")
    if "born" in spec and not is_count(spec["born"]):
        raise exceptions.InvalidObjectError(f"server {sid}: invalid born")
    ip, _, port = spec["Addr"].rpartition(":")
    return model.Server(
        sid=sid, service=spec["Service"], address=(ip, int(port)),
        domain=spec["Zone"], slots=spec["Slots"],
        draining=(spec["State"] == DRAINING
                  or bool(obj["Meta"].get("Deleting"))),
        warmup_left_s=spec["ColdLeftMs"] / 1000, started_ms=spec.get("born"),
        spot=spec.get("Spot") is True,
        version=_software_version(spec["Version"]),
        created=_created(obj["Meta"]))


def _created(meta):
    """Return the number of the change that created an object, or None."""
    found = meta.get("CreatedRev")
    return found if is_count(found) else None


def _kept_meta(meta, name):
    """Return what is used of an entry's Meta."""
    kept = {"Name": name, "Deleting": bool(meta.get("Deleting"))}
    created = _created(meta)
    return kept if created is None else {**kept, "CreatedRev": created}


def _server_spec(obj, sid):
    # Servers write their own entries; the protocol doesn't say whether the
    # fields are in Spec or in Status.
    spec = obj.get("Spec") or obj.get("Status")
    if not isinstance(spec, dict):
        raise exceptions.InvalidObjectError(
            f"server {sid}: neither Spec nor Status")
    return spec


def trimmed_server(obj):
    """Return an entry of a server that ``server`` takes for the same.

    Each field, used or not, may be as large as the store allows. Of invalid
    ones enough is left to stay invalid.
    """
    if not isinstance(obj, dict):
        return {}
    meta = obj.get("Meta")
    kept = {}
    if isinstance(meta, dict):
        kept["Meta"] = _kept_meta(meta, _trimmed(meta.get("Name")))
    spec = obj.get("Spec") or obj.get("Status")
    if isinstance(spec, dict):
        kept["Spec"] = {
            field: _trimmed(spec[field], field == "Version")
            for field in (*SERVER_FIELDS, *OPTIONAL_FIELDS) if field in spec}
    return kept


def _trimmed(value, is_version=False):
    if isinstance(value, str) and len(value) > MAX_NAME_CHARS:
        return (_software_version(value) if is_version
                else value[:MAX_NAME_CHARS + 1])
    return None if isinstance(value, dict | list) else value


def server_record(obj):
    """Return a valid entry of a server with only the fields that are used.

    The rest of an entry may be as large as the store allows.
    """
    sid = name(obj)
    spec = _server_spec(obj, sid)
    kept = {field: spec[field] for field in (*SERVER_FIELDS, *OPTIONAL_FIELDS)
            if field in spec}
    if len(kept["Version"]) > MAX_VERSION_CHARS:
        kept["Version"] = _software_version(kept["Version"])
    return {"Meta": _kept_meta(obj["Meta"], sid), "Spec": kept}


def _software_version(text):
    """Return what identifies a version, which hosts send to each other.

    Of one that is long or not printable it is a digest.
    """
    if is_software_version(text):
        return text
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def is_software_version(value):
    """Return whether a value is what identifies a software version."""
    return (isinstance(value, str) and len(value) <= MAX_VERSION_CHARS
            and value.isprintable())


def _is_text(value):
    return isinstance(value, str) and bool(value)


def is_count(value):
    """Return whether a value is a count that fits the store's integers."""
    return (isinstance(value, int) and not isinstance(value, bool)
            and 0 <= value <= MAX_COUNT)


def _is_slots(value):
    return is_count(value) and 0 < value <= MAX_SLOTS


def _is_number_up_to(most):
    def is_valid(value):
        return (isinstance(value, int | float) and not isinstance(value, bool)
                and 0 <= value <= most)

    return is_valid


def _is_state(value):
    return value in (READY, DRAINING)


def _is_address(value):
    if not isinstance(value, str):
        return False
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return is_port(port)


def is_port(text):
    """Return whether a text is the number of a port."""
    return (text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS
            and 0 < int(text) <= MAX_PORT)


# Required fields of an entry, with their checks.
SERVER_FIELDS = {
    "Service": is_name, "Addr": _is_address, "Zone": is_name,
    "Version": _is_text, "Slots": _is_slots, "State": _is_state,
    "ColdLeftMs": _is_number_up_to(MAX_WARMUP_MS), "Seq": is_count,
}
OPTIONAL_FIELDS = ("born", "Spot")
_is_cores = _is_number_up_to(MAX_CORES)


def peer_spec(me):
    """Return the entry that a host writes to the store."""
    return {"Zone": me.domain, "Front": me.public_address,
            "Control": list(me.control), "Gossip": list(me.gossip),
            "Cores": me.capacity, "Records": True}


def writes_records(obj):
    """Return whether a host's entry is of a program that writes records.

    These are those of streams (platform.stream_records).
    """
    return obj["Spec"].get("Records") is True


def peer(obj):
    """Return the Peer of a host's entry; raises InvalidObjectError."""
    try:
        spec = obj["Spec"]
        _check_peer(spec)
        return model.Peer(
            name(obj), UNKNOWN_BOOT, spec["Zone"], spec["Front"],
            tuple(spec["Control"]), tuple(spec["Gossip"]), spec["Cores"])
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.InvalidObjectError(
            f"invalid host entry: {exc!r}") from exc


def _check_peer(spec):
    """Raise ValueError unless the fields of a host's entry are valid."""
    if not (is_name(spec["Zone"]) and is_name(spec["Front"])
            and _is_cores(spec["Cores"])):
        raise ValueError("invalid Zone, Front or Cores")
    if not isinstance(spec.get("Records", False), bool):
        raise ValueError("invalid Records")
    front, _, front_port = spec["Front"].rpartition(":")
    for ip, port in ((front, front_port), spec["Control"], spec["Gossip"]):
        if not (is_name(ip) and is_port(str(port))):
            raise ValueError("invalid address")
