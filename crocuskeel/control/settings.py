"""The settings file of ``crocuskeel-control``: JSON with comments."""

import dataclasses
import pathlib

import jsonschema

from crocuskeel.control import exceptions
from crocuskeel.core import control
from crocuskeel.runtime import json_documents

__all__ = ["ProgramSettings", "parse", "read"]

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,63}$"}
_TEXT = {"type": "string", "minLength": 1}
_SECONDS = {"type": "number", "exclusiveMinimum": 0, "maximum": 86400}
_SHARE = {"type": "number", "exclusiveMinimum": 0, "maximum": 1}
_RATE = {"type": "number", "exclusiveMinimum": 0}
_COUNT = {"type": "integer", "minimum": 1}


def _section(properties, required=()):
    return {"type": "object", "properties": properties,
            "required": list(required), "additionalProperties": False}


_LEASE = _section({"span_s": _SECONDS, "margin_s": _SECONDS,
                   "renew_s": _SECONDS, "order_s": _SECONDS})
_ROLLOUT = _section({
    "share": _SHARE, "domain_share": _SHARE, "max_failures": _COUNT,
    "load_s": _SECONDS, "observe_s": _SECONDS, "idle_observe_s": _SECONDS,
    "reads_per_s": _RATE})
_WEIGHT_STORE = _section({
    "loads_per_s": _RATE, "load_burst": {"type": "number", "minimum": 1}})
SCHEMA = _section({
    "host": _NAME,
    "platform": _section(
        {"url": _TEXT, "token_file": _TEXT}, ("url", "token_file")),
    "log_file": _TEXT,
    "lease": _LEASE,
    "rollout": _ROLLOUT,
    "weight_store": _WEIGHT_STORE,
}, ("host", "platform"))
_VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)
_SECTIONS = ("lease", "rollout", "weight_store")


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramSettings:
    """The content of a settings file, with the token read from its file.

    An empty ``log_file`` means standard error.
    """

    cfg: control.Config
    platform_url: str
    platform_token: str = dataclasses.field(repr=False)
    log_file: str = ""


def read(path):
    """Read a settings file; raises :class:`SettingsFileError`."""
    path = pathlib.Path(path)
    return parse(_read_text(path), path.parent)


def parse(text, directory):
    """Parse settings; ``token_file`` is relative to ``directory``."""
    doc = json_documents.load(text, _VALIDATOR, exceptions.SettingsFileError)
    values = {key: value for section in _SECTIONS
              for key, value in doc.get(section, {}).items()}
    cfg = control.Config(host=doc["host"], **values)
    _check_lease_timing(cfg)
    platform = doc["platform"]
    token = _read_text(pathlib.Path(directory) / platform["token_file"])
    return ProgramSettings(
        cfg=cfg, platform_url=platform["url"].rstrip("/"),
        platform_token=token.strip(), log_file=doc.get("log_file", ""))


def _check_lease_timing(cfg):
    # The lease must not expire when a single renewal is lost.
    if 2 * cfg.renew_s >= cfg.span_s - cfg.margin_s:
        raise exceptions.SettingsFileError(
            "$.lease: 2 * renew_s must be less than span_s - margin_s")


def _read_text(path):
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.SettingsFileError(str(exc)) from exc
