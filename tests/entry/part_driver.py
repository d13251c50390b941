"""Helpers for tests of prompt parts: a host with engines, streams by part."""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import part_quarantine
from crocuskeel.core.entry import prompt_parts
from tests.entry import crash_driver
from tests.entry import support

__all__ = ["PartDriver", "prompt"]

STREAM = support.stream()


def prompt(*parts, model_name="m"):
    """Return a prompt of shared parts and one of its own."""
    rows = tuple((part, 10) for part in parts)
    return model.Prompt((*rows, ("own", 5)), 10 * len(parts) + 5, 20,
                        model_name)


class PartDriver(crash_driver.CrashDriver):
    """A host whose callers send streams, no two of them alike."""

    def __init__(self, *routes, count=8, name="me"):
        self.name = name
        super().__init__(*(routes or (STREAM,)), count=count, name=name,
                         service="engines")

    def ask(self, *parts, sid=None, **kwargs):
        """Send a stream with these parts; return its key, None if refused."""
        return self.ask_prompt(prompt(*parts), sid, **kwargs)

    def ask_prompt(self, asked, sid=None, path="/advice/1", **kwargs):
        """Send a stream with a prompt, to the engine ``sid`` if given."""
        self.last_key += 1
        out = self.arrive(self.last_key, path=path, prompt=asked,
                          digest=f"{self.name}-{self.last_key}", **kwargs)
        if not support.effects_of(out, effects.SendRequest):
            return None
        if sid is not None:
            self.move(self.last_key, sid)
        return self.last_key

    def open(self, key, after=0.05):
        """Have an engine write the first event of a stream."""
        self.feed(events.HintsReceived(key, 0, model.Hints()), after)
        self.feed(events.StreamOpened(key, 0, None))

    def serve(self, *parts, sid="s0"):
        """Serve a stream to its end."""
        key = self.ask(*parts, sid=sid)
        self.open(key)
        self.feed(events.StreamEnded(key, 0), 0.1)

    def end_engine(self, sid):
        """Have an engine refuse connections, as its process has ended."""
        self.feed(events.PeerLoadsReceived("host-1", (), (sid,)), 0.1)
        self.remove(sid)

    def crash_by(self, *parts, sid, after=1.0):
        """Have an engine crash as it begins to answer a stream."""
        self.now += after
        key = self.ask(*parts, sid=sid)
        if key is None:
            raise AssertionError(f"a prompt with {parts} was refused")
        self.fail(key)
        self.feed(events.CallerDisconnected(key))
        self.end_engine(sid)

    def convict(self, *parts, first=1):
        """Have three engines crash under different streams with parts."""
        for number in range(first, first + 3):
            self.crash_by(*parts, sid=f"s{number}")

    def left_s(self, *parts):
        """Return the time left of a prompt's quarantine, s."""
        return part_quarantine.time_left_s(
            self.host, prompt_parts.keys_of("engines", prompt(*parts)),
            self.now)

    def replace(self, *sids):
        """Register engines under new ids."""
        self.register(*(support.server(sid, "engines") for sid in sids))
