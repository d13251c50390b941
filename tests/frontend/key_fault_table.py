"""Fault table of refused requests that have an Idempotency-Key.

It has the same format as the tables of ``tests.frontend.fault_table``.
"""

from crocuskeel.core import events
from crocuskeel.core import messages
from tests.frontend import driver
from tests.frontend import fault_table

BOOK = fault_table.BOOK
Row = fault_table.Row


def lookup_answered(status, **extra):
    """The slot's owner answers a lookup of the key, without a grant."""
    key = driver.claim_key("north", "k")
    return fault_table.receive_message(lambda host, rid: messages.ClaimAnswer(
        rid, key, status, **extra), "h2")


def drain_requested():
    return lambda host, rid: host.feed(events.DrainAsked())


def lookup_answered_for(rid, status, **extra):
    return lambda host, _: lookup_answered(status, **extra)(host, rid)


def refused_booking(reason):
    """The dispatcher refuses the booking that waits in its queue."""
    return lambda host, rid: host.receive(
        host.owner(host.request(rid).cell), messages.Refusal(
            rid, 1, host.request(rid).cell, reason, 2.0))


FIRST = BOOK | {"first_sending": True}

KEYS = (
    Row("first_in_outage", "During a platform outage every refused booking is "
        "reported as unknown and must be checked manually.",
        FIRST, (refused_booking("overload"),),
        "enqueue, answer overload not_run"),
    Row("refused_first", "A booking that no host claimed is reported as "
        "unknown and must be checked manually.",
        BOOK, (refused_booking("overload"), lookup_answered("absent")),
        "enqueue, claimlook, answer overload not_run"),
    Row("refused_resend", "A booking ran and its answer was lost. Its resend "
        "at another host is refused from the queue as not_run, and is "
        "then booked a second time manually.",
        BOOK, (refused_booking("deadline"), lookup_answered(
            "duplicate", holder_host="h9", holder_rid="h9.1.4",
            outcome="unknown")),
        "enqueue, claimlook, answer duplicate unknown"),
    Row("refused_resend_kept", "As above, although the claim's holder still "
        "has the answer.",
        BOOK, (refused_booking("queue_full"), lookup_answered(
            "duplicate", holder_host="h2", holder_rid="h2.1.4",
            outcome="ran")),
        "enqueue, claimlook, replay from h2"),
    Row("late_resend", "As above, when the host's own deadline timer expires.",
        BOOK, (fault_table.wait(41.0),),
        "enqueue, withdraw, claimlook, answer deadline unknown"),
    Row("refused_in_outage", "During a platform outage a host reports not_run "
        "for what another host may have booked just before.",
        BOOK, (refused_booking("overload"), lookup_answered("unavailable")),
        "enqueue, claimlook, answer overload unknown"),
    Row("claim_in_outage", "As above, when the claim itself is refused.",
        BOOK, (fault_table.granted("d1"), fault_table.claimed("unavailable"),
               lookup_answered("unavailable")),
        "enqueue, claimask, release d1 cancelled, settle not_run, "
        "claimlook, answer claim_unavailable unknown"),
    Row("key_expired", "A key older than the ledger's retention is reported "
        "as not_run although it may have booked long ago.",
        BOOK, (fault_table.granted("d1"), fault_table.claimed("too_old")),
        "enqueue, claimask, release d1 cancelled, "
        "answer key_too_old unknown, settle unknown"),
    Row("resend_to_leaving", "A draining host redirects a resend and "
        "reports not_run for what ran on another host.",
        {}, (drain_requested(), fault_table.new_request(**BOOK),
             lookup_answered_for("h1.1.2", "duplicate", holder_host="h9",
                                 outcome="ran")),
        "enqueue, claimlook, answer duplicate ran"),
    Row("resend_with_revoked_token", "A token is revoked between a booking "
        "and its resend, which is then reported as not_run.",
        {}, (fault_table.new_request(**BOOK, workspace="west"),),
        "enqueue, answer unauthorized unknown"),
    Row("resend_to_full", "A full host reports not_run for what ran on "
        "another host; the slot owner's answer is lost.",
        {}, (fault_table.new_request(**fault_table.BULK),
             fault_table.new_request(**BOOK), fault_table.wait(0.6)),
        "enqueue, answer overload not_run, claimlook, "
        "answer overload unknown", max_requests=1),
    Row("two_resends", "Two resends wait here for a request held "
        "by another host; the second is never removed, and a graceful "
        "shutdown never completes.",
        BOOK, (fault_table.new_request(**BOOK), fault_table.granted("d1"),
               fault_table.claimed("duplicate", holder_host="h9",
                                   holder_rid="h9.1.4"),
               drain_requested(), fault_table.wait(4.0)),
        "enqueue, claimask, release d1 cancelled, "
        "answer duplicate unknown, answer duplicate unknown, exit"),
)
