"""The settings file of ``crocuskeel-control``: JSON with comments."""

import dataclasses
import pathlib

import jsonschema

from crocuskeel.control import exceptions
from crocuskeel.core import control
from crocuskeel.runtime import documents

__all__ = ["ProgramSettings", "parse", "read"]

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,63}$"}
_TEXT = {"type": "string", "minLength": 1}
_SPAN = {"type": "number", "exclusiveMinimum": 0, "maximum": 86400}
_SHARE = {"type": "number", "exclusiveMinimum": 0, "maximum": 1}
_RATE = {"type": "number", "exclusiveMinimum": 0}
_COUNT = {"type": "integer", "minimum": 1}


def _section(properties, required=()):
    return {"type": "object", "properties": properties,
            "required": list(required), "additionalProperties": False}


_LEASE = _section({"span_s": _SPAN, "margin_s": _SPAN, "renew_s": _SPAN,
                   "order_s": _SPAN})
_ROLLOUT = _section({
    "share": _SHARE, "domain_share": _SHARE, "max_failures": _COUNT,
    "load_s": _SPAN, "observe_s": _SPAN, "idle_observe_s": _SPAN,
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
    """One program's settings file, the token read from its file.

    ``log_file`` empty means standard error.
    """

    cfg: control.Config
    platform_url: str
    platform_token: str = dataclasses.field(repr=False)
    log_file: str = ""


def read(path):
    """Read a settings file; raises :class:`BadSettingsFile`."""
    path = pathlib.Path(path)
    return parse(_read_text(path), path.parent)


def parse(text, folder):
    """Parse a settings text; its file names are under ``folder``."""
    doc = documents.load(text, _VALIDATOR, exceptions.BadSettingsFile)
    values = {key: value for section in _SECTIONS
              for key, value in doc.get(section, {}).items()}
    cfg = control.Config(host=doc["host"], **values)
    _check_spans(cfg)
    place = doc["platform"]
    token = _read_text(pathlib.Path(folder) / place["token_file"])
    return ProgramSettings(
        cfg=cfg, platform_url=place["url"].rstrip("/"),
        platform_token=token.strip(), log_file=doc.get("log_file", ""))


def _check_spans(cfg):
    # With one lost renewal the lease must not lapse.
    if 2 * cfg.renew_s >= cfg.span_s - cfg.margin_s:
        raise exceptions.BadSettingsFile(
            "$.lease: two of renew_s must fit into span_s less margin_s")


def _read_text(path):
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.BadSettingsFile(str(exc)) from exc
