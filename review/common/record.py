"""The record of a run: what was sent, answered and run."""

import time


class Record:
    """Lines with the time since the start of the run."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        """Return the time since the start of the run, s."""
        return time.monotonic() - self.began

    def add(self, what, **fields):
        """Add a line and return its time."""
        at = self.now()
        rows = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{at:8.3f} {what} {rows}".rstrip())
        return at

    def write(self):
        """Write the record to its file."""
        with open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")
