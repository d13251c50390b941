"""Descriptions of events and refusal codes for operators."""

import string

from crocuskeel.core.problems import Reason

__all__ = ["CONTEXT_KINDS", "EVENT_TEMPLATES", "FLEET_KINDS", "HINTS",
           "describe_event", "hint"]

FLEET_KINDS = frozenset({
    "claims_doubt_settled", "claims_in_doubt", "claims_unreadable",
    "door_dead", "drain_started", "host_superseded", "log",
    "member_dead", "member_left", "member_suspect",
    "settings_adopted", "settings_corrupt", "settings_held",
    "settings_recovered", "settings_unconfirmed",
    "suspicion_refuted",
})
# Kinds that concern one engine or cell.
_ENGINE_AND_CELL_KINDS = frozenset({
    "backed_off", "backend_leaving", "cell_given", "cell_taken",
    "eased_off", "quarantined", "restored", "suspect",
})
CONTEXT_KINDS = tuple(sorted(FLEET_KINDS | _ENGINE_AND_CELL_KINDS))

EVENT_TEMPLATES = {
    "answered": "answered: {reason}; outcome {outcome}",
    "arrived": "arrived: class {class}, tier {tier}, generation "
               "{generation}",
    "backed_off": "engine {engine} backed off for {span_s} s after failures",
    "backend_leaving": "backend server {backend} is leaving",
    "budget_spent": "not retried: the class's retry budget is spent",
    "caller_gone": "the caller disconnected",
    "cancelled": "attempt {attempt} on {engine} was cancelled",
    "cell_given": "another host now dispatches cell {cell}",
    "cell_taken": "this host now dispatches cell {cell}",
    "claim_timeout": "the claim was not recorded in time",
    "claims_doubt_settled": "claims slot {slot}: outcome of the write is now "
                            "known",
    "claims_in_doubt": "claims slot {slot}: outcome of a write is unknown",
    "claims_unreadable": "claims slot {slot} can't be read: {detail}",
    "cleared": "fingerprint {fingerprint} cleared at {engine}",
    "closed": "attempt {attempt} on {engine} ended: {end}, "
              "{tokens} tokens",
    "door_dead": "entry host {door} is dead, its slots were released",
    "clock_jump": "control: the clock jumped by {jump_s} s",
    "drain_asked": "drain requested by {author}",
    "drain_started": "this host is draining, {requests} requests in progress",
    "drained": "this host is drained",
    "eased_off": "engine {engine} is slow and receives fewer requests",
    "engine_restarted": "control: engine {name} was restarted",
    "enqueued": "attempt {attempt} waits in cell {cell}, dispatcher "
                "{dispatcher}",
    "first_token": "first token from {engine}, {ttft_s} s after it was "
                   "sent",
    "given_back": "slot on {engine} released: the server is leaving "
                  "or unknown to this host",
    "granted": "attempt {attempt} got a slot on {engine}, {waited_s} s "
               "after arrival",
    "host_superseded": "host {host} was replaced by a newer incarnation",
    "lease_acquired": "control: lease acquired, fence {fence}",
    "lease_lapsed": "control: lease lapsed, fence {fence}",
    "lease_resumed": (
        "control: lease written again in a restored store, fence {fence}"),
    "log": "{level}: {message}",
    "member_alive": "membership: {host} is alive",
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
    "order_taken": "control: {engine} accepted {order} {name} {version}",
    "order_unknown": "control: response to {order} {name} lost, {engine}",
    "plan": "control: plan of generation {generation}, {engines} "
            "engines, {items} items",
    "quarantined": "fingerprint {fingerprint} quarantined at {engine}",
    "refused": "refused: {reason}",
    "replay_asked": "requested the stored response of {held} from {host}",
    "replayed": "answered with the stored response of {held}",
    "restored": "engine {engine} is back in normal use",
    "resumed": "requested the rest of the stream, attempt {tries}",
    "retried": "will be retried, avoiding {avoid}",
    "rollout_paused": "control: rollout of {service} paused after "
                      "{failures} failures: {why}",
    "rollout_resumed": "control: rollout of {service} resumed",
    "settings_adopted": "settings generation {to} in force on this host",
    "settings_committed": "batch of {author} accepted as generation {to}",
    "settings_corrupt": "settings could not be read: {fault}",
    "settings_held": "settings generation {held} is complete, waiting until "
                     "a peer has it too",
    "settings_recovered": "settings generation {floor} or a newer one may "
                          "come into force, by the {source}",
    "settings_unconfirmed": "no settings after a restart: waits for the "
                            "platform or for {count} hosts, {hosts}",
    "settings_rejected": "batch of {author} rejected: {reason}",
    "shed": "dispatcher refused the request: {reason}, {waited_s} s after "
            "arrival",
    "started": "this host started",
    "stop_asked": "control: stop requested",
    "stopped": "this host stopped",
    "suspect": "fingerprint {fingerprint} suspected at {engine}",
    "suspicion_refuted": "suspicion by {by} refuted",
}
_GRANTED_WITH_RULE = "dispatcher chose {engine} for attempt {attempt}, {rule}"
_RULE_TEXTS = {
    "floor": "for its class's floor",
    "suspect": "alone, as its content is suspected of crashing engines",
    "tier": "as the next request of its tier",
}

HINTS = {
    Reason.UNAUTHORIZED: "the token's hash is in no workspace's tokens",
    Reason.UNKNOWN_CLASS: "add the class to the settings, or correct the "
                          "class name that the caller sends",
    Reason.OVERLOAD: "not enough capacity for this tier: see status for "
                     "queues, add engines or lower another class's share",
    Reason.QUEUE_FULL: "the class's queue_limit is reached: raise it, or "
                       "add engines",
    Reason.DEADLINE: "no slot was free in time: see status for queues; "
                     "raise deadline_s only if a late response is useful",
    Reason.NO_BACKEND: "no usable engine: see status for engines that are "
                       "leaving or off, and the host list",
    Reason.QUARANTINED: "this content crashed engines: do not resend it, "
                        "and check the engines' logs",
    Reason.CLAIM_UNAVAILABLE: "the Object API can't be written: see the "
                              "how-to page on platform outages",
    Reason.KEY_TOO_OLD: "the caller reused an idempotency key after its "
                        "retention time; it must find out how the first "
                        "request ended",
    Reason.KEY_MISMATCH: "the caller used one idempotency key for two "
                         "requests",
    Reason.BACKEND_LOST: "check the engine's log at the time of the last "
                         "step",
    Reason.BACKEND_FAILED: "the engine responded with an error: check its "
                           "log",
    Reason.NOT_READY: "the host had no settings: compare newest and "
                      "generation in status",
    Reason.SETTINGS_STALE: "the host could reach neither the platform nor "
                           "its peers",
    Reason.LEAVING: "the host was draining; callers should call locate "
                    "again",
}


class _DefaultingFormatter(string.Formatter):
    """Formats a missing field as ``?``."""

    def get_value(self, key, args, kwargs):
        return kwargs.get(key, "?")


_FORMATTER = _DefaultingFormatter()


def describe_event(event):
    """Return a description of an event.

    An event of a kind without a template is described by its fields.
    """
    template = EVENT_TEMPLATES.get(event.kind)
    fields = {name: _format_value(value) for name, value in event.fields}
    if event.kind == "granted" and event.get("reason"):
        template = _GRANTED_WITH_RULE
        fields["rule"] = _RULE_TEXTS.get(fields["reason"], fields["reason"])
    if template is None:
        pairs = (f"{name}={value}" for name, value in event.fields)
        return f"{event.kind} {' '.join(pairs)}".rstrip()
    if event.kind == "answered":
        fields["reason"] = fields.get("reason") or "complete response"
        fields.setdefault("outcome", "ran")
    return _FORMATTER.format(template, **fields)


def _format_value(value):
    return f"{value:.3g}" if isinstance(value, float) else value


def hint(reason):
    """Return advice for an operator on a refusal code."""
    try:
        return HINTS.get(Reason(reason), "")
    except ValueError:
        return ""
