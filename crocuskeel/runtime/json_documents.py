"""Settings files: JSON with comments, validated by a JSON schema."""

import json5

__all__ = ["load"]


def load(text, validator, error):
    """Return the document parsed from ``text``.

    Raises ``error`` with one line for each error and its JSON path.
    """
    try:
        document = json5.loads(text)
    except ValueError as exc:
        raise error(str(exc)) from exc
    errors = [f"{violation.json_path}: {violation.message}"
              for violation in validator.iter_errors(document)]
    if errors:
        raise error("\n".join(errors))
    return document
