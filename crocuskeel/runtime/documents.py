"""Programs' settings files: JSON with comments, checked by a schema."""

import json5

__all__ = ["load"]


def load(text, validator, error):
    """Return the document of ``text``.

    Raises ``error`` with every fault and its place, a line each.
    """
    try:
        doc = json5.loads(text)
    except ValueError as exc:
        raise error(str(exc)) from exc
    faults = [f"{fault.json_path}: {fault.message}"
              for fault in validator.iter_errors(doc)]
    if faults:
        raise error("\n".join(faults))
    return doc
