"""The process settings file: the identity and addresses of a daemon.

JSON with comments. It contains the host's address and failure domain,
the seed peers and the platform; all other settings are in the settings
tree.
"""

import dataclasses
import pathlib

import jsonschema

from crocuskeel.core import state
from crocuskeel.runtime import exceptions
from crocuskeel.runtime import json_documents

__all__ = ["ProcessSettings", "identity", "parse", "read"]

MIN_KEY_BYTES = 16
_NAME = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,63}$"}
_TEXT = {"type": "string", "minLength": 1}
_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_COUNT = {"type": "integer", "minimum": 1}
_SEED = {
    "type": "object",
    "properties": {"host": _NAME, "address": _TEXT, "port": _PORT},
    "required": ["host", "address", "port"],
    "additionalProperties": False,
}
_PLATFORM = {
    "type": "object",
    "properties": {"url": _TEXT, "token_file": _TEXT},
    "required": ["url", "token_file"],
    "additionalProperties": False,
}
_LIMITS = {
    "type": "object",
    "properties": {
        "max_requests": _COUNT,
        "max_queue_per_cell": _COUNT,
        "replay_kept_s": _POSITIVE,
        "stale_settings_s": _POSITIVE,
        "peer_silence_s": _POSITIVE,
    },
    "additionalProperties": False,
}
SCHEMA = {
    "type": "object",
    "properties": {
        "deployment": _NAME,
        "host": _NAME,
        "domain": _NAME,
        "region": _NAME,
        "address": _TEXT,
        "door_port": _PORT,
        "peer_port": _PORT,
        "key_file": _TEXT,
        "seeds": {"type": "array", "items": _SEED},
        "platform": _PLATFORM,
        "log_file": _TEXT,
        "statsd": {"type": "string", "pattern": "^[^:]+:[0-9]+$"},
        "limits": _LIMITS,
    },
    "required": ["deployment", "host", "domain", "region", "address",
                 "door_port", "peer_port", "key_file"],
    "additionalProperties": False,
}
_VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """One daemon's settings file, with secrets read from their files.

    ``platform_url`` is empty without a platform; ``log_file`` empty
    means standard error; ``statsd`` is ``address:port`` or empty.
    """

    deployment: str
    host: str
    domain: str
    region: str
    address: str
    door_port: int
    peer_port: int
    key: bytes = dataclasses.field(repr=False)
    seeds: tuple[tuple[str, str, int], ...] = ()
    platform_url: str = ""
    platform_token: str = dataclasses.field(default="", repr=False)
    log_file: str = ""
    statsd: str = ""
    limits: state.Limits = state.Limits()


def read(path):
    """Read a settings file; raises :class:`SettingsFileError`."""
    path = pathlib.Path(path)
    try:
        text = path.read_text()
    except OSError as exc:
        raise exceptions.SettingsFileError(str(exc)) from exc
    return parse(text, path.parent)


def parse(text, folder):
    """Parse a settings text; file names are relative to ``folder``."""
    document = json_documents.load(
        text, _VALIDATOR, exceptions.SettingsFileError)
    return _settings(document, pathlib.Path(folder))


def _settings(document, folder):
    key = _read_secret(folder, document["key_file"])
    if len(key) < MIN_KEY_BYTES:
        raise exceptions.SettingsFileError(
            f"$.key_file: the key is shorter than {MIN_KEY_BYTES} bytes")
    platform = document.get("platform")
    token = _read_secret(folder, platform["token_file"]) if platform else b""
    seeds = tuple((seed["host"], seed["address"], seed["port"])
                  for seed in document.get("seeds", ()))
    return ProcessSettings(
        deployment=document["deployment"], host=document["host"],
        domain=document["domain"], region=document["region"],
        address=document["address"], door_port=document["door_port"],
        peer_port=document["peer_port"], key=key, seeds=seeds,
        platform_url=platform["url"].rstrip("/") if platform else "",
        platform_token=token.decode(), log_file=document.get("log_file", ""),
        statsd=document.get("statsd", ""),
        limits=state.Limits(**document.get("limits", {})))


def _read_secret(folder, name):
    try:
        return (folder / name).read_bytes().strip()
    except OSError as exc:
        raise exceptions.SettingsFileError(str(exc)) from exc


def identity(cfg, incarnation):
    """Return the core's :class:`state.Identity` of this process."""
    return state.Identity(
        deployment=cfg.deployment, host=cfg.host, domain=cfg.domain,
        region=cfg.region, address=cfg.address, peer_port=cfg.peer_port,
        door_port=cfg.door_port, incarnation=incarnation,
        seeds=cfg.seeds)
