"""Events and refusal codes in words for operators."""

import string

from crocuskeel.core.problems import Reason

__all__ = ["CONTEXT_KINDS", "FLEET_KINDS", "HINTS", "SENTENCES", "hint",
           "sentence"]

FLEET_KINDS = frozenset({
    "claims_doubt_settled", "claims_in_doubt", "claims_unreadable",
    "door_dead", "drain_started", "host_superseded", "log",
    "member_dead", "member_left", "member_suspect",
    "settings_adopted", "settings_corrupt", "settings_held",
    "suspicion_refuted",
})
# Those that concern one engine or cell.
_LOCAL_KINDS = frozenset({
    "backed_off", "backend_leaving", "cell_given", "cell_taken",
    "eased_off", "quarantined", "restored", "suspect",
})
CONTEXT_KINDS = tuple(sorted(FLEET_KINDS | _LOCAL_KINDS))

SENTENCES = {
    "answered": "answered: {reason}; outcome {outcome}",
    "arrived": "arrived: class {class}, tier {tier}, generation "
               "{generation}",
    "backed_off": "engine {engine} rests for {span_s} s after faults",
    "backend_leaving": "backend server {backend} is leaving",
    "budget_spent": "not retried: the class's retry budget is spent",
    "caller_gone": "its caller went away",
    "cancelled": "attempt {attempt} on {engine} was cancelled",
    "cell_given": "another host now dispatches cell {cell}",
    "cell_taken": "this host now dispatches cell {cell}",
    "claim_timeout": "its claim was not recorded in time",
    "claims_doubt_settled": "claims slot {slot}: lost answer settled",
    "claims_in_doubt": "claims slot {slot}: a write's answer was lost",
    "claims_unreadable": "claims slot {slot} can't be read: {detail}",
    "cleared": "fingerprint {fingerprint} cleared at {engine}",
    "closed": "attempt {attempt} on {engine} ended: {end}, "
              "{tokens} tokens",
    "door_dead": "entry host {door} is dead, its slots are free",
    "clock_jump": "control: the clock jumped by {jump_s} s",
    "drain_asked": "drain asked by {author}",
    "drain_started": "this host drains, {requests} requests held",
    "drained": "this host is drained",
    "eased_off": "engine {engine} is slow and gets less work",
    "engine_restarted": "control: engine {name} was restarted",
    "enqueued": "attempt {attempt} waits in cell {cell}, dispatcher "
                "{dispatcher}",
    "first_token": "first token from {engine}, {ttft_s} s after it was "
                   "sent",
    "given_back": "slot on {engine} given back: the server is leaving "
                  "or not known here",
    "granted": "attempt {attempt} got a slot on {engine}, {waited_s} s "
               "after arrival",
    "host_superseded": "a newer incarnation of {host} took its place",
    "lease_acquired": "control: lease acquired, fence {fence}",
    "lease_lapsed": "control: lease lapsed, fence {fence}",
    "log": "{level}: {message}",
    "member_alive": "membership: {host} is alive after all",
    "member_dead": "membership: {host} is dead",
    "member_joined": "membership: {host} joined",
    "member_leaving": "membership: {host} is leaving",
    "member_left": "membership: {host} left as planned",
    "member_suspect": "membership: {host} is suspected",
    "opened": "attempt {attempt} was sent to {engine}",
    "order_confirmed": "control: {engine} has {order} {name} {version}",
    "order_failed": "control: {order} {name} at {engine} failed: {why}",
    "order_not_sent": "control: {order} {name} was not sent to {engine}",
    "order_refused": "control: {engine} refused {order} {name}",
    "order_sent": "control: {order} {name} {version} sent to {engine}",
    "order_taken": "control: {engine} took {order} {name} {version}",
    "order_unknown": "control: answer to {order} {name} lost, {engine}",
    "plan": "control: plan of generation {generation}, {engines} "
            "engines, {items} items",
    "quarantined": "fingerprint {fingerprint} quarantined at {engine}",
    "refused": "refused: {reason}",
    "replay_asked": "asked {host} for the answer of {held}",
    "replayed": "given the kept answer of {held}",
    "restored": "engine {engine} gets its full share again",
    "resumed": "asked for the rest of the stream, try {tries}",
    "retried": "to be tried again, avoiding {avoid}",
    "rollout_paused": "control: rollout of {service} paused after "
                      "{failures} failures: {why}",
    "rollout_resumed": "control: rollout of {service} resumed",
    "settings_adopted": "settings generation {to} in force on this host",
    "settings_committed": "batch of {author} accepted as generation {to}",
    "settings_corrupt": "settings could not be read: {fault}",
    "settings_held": "settings generation {held} complete, waits for a "
                     "peer that holds it too",
    "settings_rejected": "batch of {author} refused: {reason}",
    "shed": "dispatcher refused it: {reason}, {waited_s} s after arrival",
    "started": "this host started",
    "stop_asked": "control: asked to stop",
    "stopped": "this host stopped",
    "suspect": "fingerprint {fingerprint} suspected at {engine}",
    "suspicion_refuted": "was suspected by {by}, refuted it",
}
_GRANTED_BY = "dispatcher chose {engine} for attempt {attempt}, {rule}"
_RULES = {
    "floor": "for its class's floor",
    "suspect": "alone, as a suspect",
    "tier": "as the next of its tier",
}

HINTS = {
    Reason.UNAUTHORIZED: "the token's hash is in no workspace's tokens",
    Reason.UNKNOWN_CLASS: "add the class to the settings, or mend the "
                          "caller's class name",
    Reason.OVERLOAD: "capacity is short for this tier: see status for "
                     "queues, add engines or lower another class's share",
    Reason.QUEUE_FULL: "the class's queue_limit is reached: raise it, or "
                       "add engines",
    Reason.DEADLINE: "no slot came in time: see status for queues; raise "
                     "deadline_s only if a late answer still helps",
    Reason.NO_BACKEND: "no usable engine: see status for engines that are "
                       "leaving or off, and the host list",
    Reason.QUARANTINED: "this content crashed engines; do not resend it, "
                        "look at the engines' logs",
    Reason.CLAIM_UNAVAILABLE: "the Object API can't be written: see the "
                              "how-to page on platform outages",
    Reason.KEY_TOO_OLD: "the caller resent a key past the kept span; it "
                        "must ask what became of the first one",
    Reason.KEY_MISMATCH: "the caller used one key for two requests",
    Reason.BACKEND_LOST: "look at the engine's log at the time of its "
                         "last step",
    Reason.BACKEND_FAILED: "the engine answered with an error: look at "
                           "its log",
    Reason.NOT_READY: "the host had no settings: see status, newest "
                      "against generation",
    Reason.SETTINGS_STALE: "the host was cut off from platform and peers",
    Reason.LEAVING: "the host was draining; callers should ask locate "
                    "again",
}


class _Known(string.Formatter):
    """Puts ``?`` where an event lacks a field."""

    def get_value(self, key, args, kwargs):
        return kwargs.get(key, "?")


_FORMAT = _Known()


def sentence(event):
    """Return an event in words; its fields if the kind has none."""
    template = SENTENCES.get(event.kind)
    fields = {name: _shown(value) for name, value in event.fields}
    if event.kind == "granted" and event.get("reason"):
        template = _GRANTED_BY
        fields["rule"] = _RULES.get(fields["reason"], fields["reason"])
    if template is None:
        pairs = (f"{name}={value}" for name, value in event.fields)
        return f"{event.kind} {' '.join(pairs)}".rstrip()
    if event.kind == "answered":
        fields["reason"] = fields.get("reason") or "whole answer"
        fields.setdefault("outcome", "ran")
    return _FORMAT.format(template, **fields)


def _shown(value):
    return f"{value:.3g}" if isinstance(value, float) else value


def hint(reason):
    """Return what an operator can do about a refusal code."""
    try:
        return HINTS.get(Reason(reason), "")
    except ValueError:
        return ""
