"""A host whose engines are scheduled, for tests of whole decisions."""

import dataclasses
import random

from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.scheduling import settings
from crocuskeel.core.scheduling import waiting_room
from tests.entry import support

SERVICE = "engines"
FLOOD_KEY = "key-flood"
ON = settings.Settings(min_patience=4.5)
CHAT = support.stream("chat", target_s=0.4, timeout_s=10.0, gap_s=0.25,
                      priority=0, max_servers=1, resumable=False)
CHECK = support.stream("check", target_s=0.5, timeout_s=5.0, gap_s=0.4,
                       priority=1)
AUDIT = support.stream("audit", target_s=1.5, timeout_s=8.0, gap_s=1.0,
                       priority=2, max_servers=1, resumable=False)
CHAT_PROMPT = model.Prompt((("chats", 350), ("own", 1_110)), 1_460, 200)
CHECK_PROMPT = model.Prompt((("checks", 6_300), ("own", 2_890)), 9_190, 60)
PROMPTS = {"chat": CHAT_PROMPT, "check": CHECK_PROMPT}


def audit_prompt(part):
    """Return a long prompt with a shared part of that name."""
    return model.Prompt(((part, 13_300), ("own", 3_720)), 17_020, 120)


class Driver(support.Driver):
    """Feeds requests of three classes to a host with scheduled engines."""

    def __init__(self, engines, cfg=ON, memory=950_000):
        super().__init__()
        self.host = entry.new_host(entry.Settings(), random.Random(1),
                                   scheduling=cfg)
        self.feed(events.Started(support.peer("me")))
        catalog = support.catalog(CHAT, CHECK, AUDIT)
        service = model.Service(SERVICE, 1_100, model.EngineSpec(
            128, memory, 0.82e-6))
        self.feed(events.CatalogRead(dataclasses.replace(
            catalog, services={SERVICE: service}, api_keys={
                support.KEY: model.Workspace("hire", None),
                FLOOD_KEY: model.Workspace("flood", None)})))
        self.feed(events.ServersListed(tuple(engines), 5))
        self.key = 0

    def ask(self, route, prompt=None, after=0.0, api_key=support.KEY,
            **kwargs):
        """Feed a request of a route; return (key, effects)."""
        self.key += 1
        values = {"deadline_s": route.timeout_s, **kwargs}
        req = support.request(
            f"/{route.name}/1", prompt or PROMPTS[route.name],
            rid=f"r{self.key}", digest=f"d{self.key}", **values)
        out = self.feed(events.RequestReceived(
            self.key, dataclasses.replace(req, api_key=api_key)), after)
        return self.key, out

    def pass_over(self, after=0.1):
        """Let some time pass and the rooms be looked through."""
        for state in self.host.servers.values():
            state.last_seen_at = self.now + after
        return self.feed(events.Ticked(self.now + after), after)

    def fill(self, tokens=30_000):
        """Let each engine have more queued than any prompt accepts."""
        for state in self.host.servers.values():
            state.own_attempts["other", 0] = tokens

    def free(self, *sids):
        """Let engines have nothing queued again."""
        for sid in sids:
            self.host.servers[sid].own_attempts.pop(("other", 0), None)

    def waiting(self):
        """Return the keys in the waiting room, in order."""
        room = self.host.schedules[SERVICE].room
        return list(waiting_room.order(room, self.now))

    def opened(self, key, after=0.0):
        """Feed the first event of a request's stream."""
        return self.feed(events.StreamOpened(key, 0, None), after)


def engine(sid, domain="perth-a", **kwargs):
    """Return a registered engine."""
    return support.server(sid, SERVICE, slots=128, domain=domain, **kwargs)


def sent_to(out):
    """Return (key, server id) of the requests that were sent."""
    return [(effect.key, effect.server.sid)
            for effect in support.effects_of(out, effects.SendRequest)]


def logged(out, event):
    """Return the fields of the log lines of an event."""
    return [effect.fields for effect
            in support.effects_of(out, effects.LogEvent)
            if effect.event == event]
