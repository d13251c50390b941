"""Sends requests to servers; holds or refuses them if none has room."""

import math

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import lookups
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import reachability
from crocuskeel.core.entry import retry_budget
from crocuskeel.core.entry import retrying
from crocuskeel.core.entry import server_choice
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import stopping
from crocuskeel.core.entry import trials
from crocuskeel.core.scheduling import placement
from crocuskeel.core.scheduling import queueing
from crocuskeel.core.scheduling import services
from crocuskeel.core.scheduling import waiting_room

__all__ = ["dispatch", "send", "wait_for_place"]

# A stream that has begun and that a server refused is sent again after this,
# s: servers free places within a few hundred milliseconds.
PLACE_RECHECK_S = 0.15


def send(host, pending, now):
    """Send a request to the best server among those not ruled out."""
    left = pending.deadline_at - now
    if left < retrying.MIN_SEND_S:
        return ending.give_up(host, pending, "time is up", now)
    quarantine_s = quarantine.pending_time_left_s(host, pending, now)
    if quarantine_s:
        return ending.give_up(host, pending, "quarantined", now, quarantine_s)
    if stopping.must_refuse(host, pending, now):
        return stopping.refuse(host, pending, now)
    if (reachability.is_in_doubt(host, pending.service)
            and not ending.active_attempts(pending)
            and reachability.relay_host(host, pending, now) is not None):
        return _hold(host, pending, now)
    if reachability.is_cut_off(host, pending.service):
        out = _relay(host, pending, left, now)
        if out:
            return out
    finding, out = lookups.resolve(host, pending, now)
    match finding:
        case lookups.Finding.WAITING:
            return out + _hold(host, pending, now)
        case lookups.Finding.UNKNOWN:
            return out + ending.give_up(host, pending, "origin unknown", now)
    return out + _send_to_server(host, pending, left, now)


def _send_to_server(host, pending, left, now):
    """Send a request that may go to servers, or hold or refuse it."""
    key = quarantine.trial_key(host, pending)
    if not _may_run(host, pending, key, now):
        if now < max(admission.queue_until(pending),
                     trials.hold_until(host, key, now)):
            return _hold(host, pending, now)
        return ending.give_up(host, pending, "crash suspected", now)
    pending.candidates = candidates.pick(host, pending)
    pending.rank = admission.rank(host, pending, now)
    schedule = _schedule(host, pending, now)
    if schedule is not None:
        return queueing.submit(host, schedule, pending,
                               _starter(host, now), now)
    prefix_cache.note_fetchable(
        pending, server_choice.fetch_sources(host, pending, now), now)
    tried = ending.tried_servers(pending)
    target = server_choice.choose(host, pending, tried, now)
    if target is None:
        return _wait_for_server(host, pending, tried, now)
    if not admission.admits(host, pending, target, now):
        full, target = target, _other_server(host, pending, now)
        if target is None:
            if now < admission.queue_until(pending):
                return _hold(host, pending, now)
            return _shed(host, pending, full, now)
    return _send_to(host, pending, target, key, now)


def _may_run(host, pending, key, now):
    """Return whether a request may run now; ``key`` is its trial_key."""
    return not quarantine.must_wait(host, pending, key, now) and (
        trials.may_begin(host, key, now))


def dispatch(host, now):
    """Send queued prompts to engines that have become free."""
    if not host.schedules:
        return []
    return queueing.dispatch_all(host, _starter(host, now), now)


def _schedule(host, pending, now):
    """Return the Schedule that applies to a request now, or None.

    A request that has tried all healthy engines is treated as those of
    other services. If none is healthy, it waits in the room: a suspect
    engine is tried again soon, and a refusal now would be followed by
    another one.
    """
    if pending.request.prompt is None:
        return None
    schedule = services.find(host, pending.service)
    if schedule is None or ending.active_attempts(pending):
        return None
    tried = ending.tried_servers(pending)
    healthy = server_choice.healthy(host, pending, now)
    if healthy and all(state.server.sid in tried for state in healthy):
        return None
    return schedule


def _starter(host, now):
    """Return a function that sends a queued request to an engine.

    While it was queued, its prompt may have been found to crash engines, or
    this host may have been cut off from them: then it is treated as new.
    """
    def start(pending, state):
        key = quarantine.trial_key(host, pending)
        if _needs_checks(host, pending, key, now):
            _leave_room(host, pending)
            return send(host, pending, now)
        schedule = services.find(host, pending.service)
        waiting_room.placed(schedule.room, pending.key, now)
        return _send_to(host, pending, state, key, now)

    return start


def _needs_checks(host, pending, key, now):
    """Say whether ``send`` may do anything else than send a request."""
    return (pending.deadline_at - now < retrying.MIN_SEND_S
            or quarantine.pending_time_left_s(host, pending, now) > 0
            or stopping.must_refuse(host, pending, now)
            or reachability.is_in_doubt(host, pending.service)
            or reachability.is_cut_off(host, pending.service)
            or not _may_run(host, pending, key, now))


def _send_to(host, pending, target, key, now):
    left = pending.deadline_at - now
    attempt, source = _start_attempt(host, pending, target, now)
    order = effects.SendRequest(
        pending.key, attempt.attempt_number, target.server, left,
        pending.priority,
        pending.workspace, pending.route.kind is model.Kind.STREAM,
        resume=_resumes(pending),
        fetch_from=source.server.address if source else None)
    return [order, *trials.begun_lines(host, pending, key),
            _sent_line(host, pending, target, attempt, source, now),
            effects.SetRequestTimer(pending.key,
                                    retrying.next_check(pending, now))]


def _relay(host, pending, left, now):
    """Send a request to another host, which reaches its servers.

    Returns no effects if none does, or takes it on: it is sent to a server
    then, as this host may be wrong about its path.
    """
    peer = reachability.relay_host(host, pending, now)
    if peer is None:
        if ending.active_attempts(pending):
            return retrying.await_answers(pending, now)
        if pending.request.max_servers is None:
            return []
        return ending.give_up(host, pending, "cut off", now)
    attempt = states.Attempt(
        len(pending.attempts), peer.name, "", now, relayed=True,
        servers=max(1, pending.max_servers - pending.servers_used))
    if pending.servers_used:
        retry_budget.note_retry(host, pending.service, now)
    host.held.discard(pending.key)
    _leave_room(host, pending)
    class_minimums.note_sent(host, pending, now)
    pending.attempts.append(attempt)
    pending.servers_used += attempt.servers
    pending.connect_attempts += 1
    ip, _, port = peer.public_address.rpartition(":")
    other = model.Server(peer.name, pending.service, (ip, int(port)),
                         peer.domain, 0, False)
    order = effects.SendRequest(
        pending.key, attempt.attempt_number, other, left, pending.priority,
        pending.workspace, pending.route.kind is model.Kind.STREAM,
        resume=_resumes(pending),
        relay_servers=attempt.servers, relay_origin=pending.origin)
    line = ending.log_line(
        "relayed", pending.request, turn=attempt.attempt_number,
        peer=peer.name, service=pending.service, left_s=round(left, 2),
        **stopping.log_fields(host, now))
    return [order, line, effects.SetRequestTimer(
        pending.key, retrying.next_check(pending, now))]


def _resumes(pending):
    """Return whether a request's stream goes on after an event."""
    return pending.forwarded_attempt is not None or (
        pending.route.resumable and bool(pending.request.last_event_id))


def _sent_line(host, pending, target, attempt, source, now):
    """Return the log line of an attempt, with the inputs of the choice."""
    report_age_s = min(99, now - target.reported_at)
    return ending.log_line(
        "sent", pending.request, turn=attempt.attempt_number,
        server=target.server.sid, service=pending.service,
        mine=len(target.own_attempts),
        running=server_load.running_requests(target, now),
        ahead=server_load.queued_tokens(target, now),
        said=target.reported_load,
        said_age_s=round(report_age_s, 1), fresh=attempt.uncached_tokens,
        spill=attempt.reread_tokens, fetch=attempt.fetched_tokens,
        source=source.server.sid if source else "",
        route=pending.route.name, rank=pending.rank,
        priority=pending.priority,
        loud_s=round(prefill_pauses.expected_pause_s(target, now), 3),
        left_s=round(pending.deadline_at - now, 2),
        software=target.server.version, resumes=pending.request.resumes,
        last_event=pending.request.last_event_id,
        version=host.catalog.version, **stopping.log_fields(host, now))


def _hold(host, pending, now):
    """Hold a request at this host until a server has room."""
    _leave_room(host, pending)
    host.held.add(pending.key)
    due_at = min(pending.deadline_at, admission.next_check(host, now))
    return [effects.SetRequestTimer(pending.key, due_at)]


def wait_for_place(host, pending, now):
    """Hold a stream that has begun until a server may take it.

    It can't be refused as not run, and an end would break it off.
    """
    _leave_room(host, pending)
    host.held.add(pending.key)
    return [effects.SetRequestTimer(
        pending.key, min(pending.deadline_at, now + PLACE_RECHECK_S))]


def _leave_room(host, pending):
    """Remove a request from its waiting room.

    One that is sent or held in another way would be sent a second time.
    """
    schedule = host.schedules.get(pending.service)
    if schedule is not None:
        waiting_room.leave(schedule.room, pending.key)


def _wait_for_server(host, pending, tried, now):
    """Hold a request that no server can take now, or refuse it."""
    if ending.active_attempts(pending):
        return retrying.await_answers(pending, now)
    if pending.forwarded_attempt is not None and (
            server_choice.may_have_place(host, pending, tried)):
        return wait_for_place(host, pending, now)
    free_s = server_choice.available_in_s(host, pending, tried, now)
    if free_s is None or pending.fallback is not None:
        return ending.give_up(host, pending, "no server", now,
                              _retry_after_s(host, pending, now))
    if now + free_s < admission.queue_until(pending):
        return _hold(host, pending, now)
    return ending.give_up(host, pending, "servers limited", now,
                          _retry_after_s(host, pending, now))


def _retry_after_s(host, pending, now):
    """Return the retry delay for servers that take no requests now, s."""
    free_s = server_choice.available_in_s(host, pending, (), now)
    if not free_s:
        return ending.BUSY_RETRY_S
    retry_delay_s = admission.retry_delay_s(host, pending, now)
    return max(retry_delay_s, free_s) if free_s < math.inf else retry_delay_s


def _other_server(host, pending, now):
    """Return another server for a request that its best one can't take.

    If its shared parts can be fetched there instead of read, the request
    goes there immediately; otherwise it first waits for the server that
    holds them. On a day of high load with 70 engines this served requests
    with 0.37 of the total value, against 0.32 when all waited first.
    """
    if (now < admission.queue_until(pending)
            and not prefix_cache.can_fetch(host, pending)):
        return None
    return _server_with_room(host, pending, now)


def _server_with_room(host, pending, now):
    """Return the best server that admits a request, or None.

    Reading shared parts again costs less than a refusal.
    """
    def has_room(state):
        return (admission.may_prefill_again(host, pending, state)
                and admission.admits(host, pending, state, now))

    return server_choice.choose_with_capacity(host, pending, has_room, now)


def _shed(host, pending, target, now):
    """Refuse a request that no server has room for."""
    if ending.active_attempts(pending):
        return retrying.await_answers(pending, now)
    line = ending.log_line("shed", pending.request, server=target.server.sid,
                           route=pending.route.name, rank=pending.rank,
                           priority=pending.priority,
                           busy=round(target.prefill_share, 2),
                           running=server_load.running_requests(target, now),
                           ahead=server_load.queued_tokens(target, now),
                           reading=server_load.queued_prompts(target, now),
                           back=admission.is_callers_retry(pending))
    ending.finish(host, pending)
    retry_delay_s = admission.retry_delay_s(host, pending, now)
    return [ending.refuse(pending.key, pending.deadline_at - now, "overload",
                          retry_delay_s), line]


def _start_attempt(host, pending, target, now):
    attempt = states.Attempt(len(pending.attempts), target.server.sid,
                             target.server.incarnation, now,
                             version=target.server.version)
    source = None
    if pending.request.prompt is not None:
        source = _record_prompt(host, pending, target, attempt, now)
    host.held.discard(pending.key)
    _leave_room(host, pending)
    ratelimits.consume_token(host, target.server, now)
    class_minimums.note_sent(host, pending, now)
    pending.attempts.append(attempt)
    pending.servers_used += 1
    pending.connect_attempts += 1
    attempt.queued_tokens = server_load.queued_tokens(target, now)
    if not target.own_attempts:
        target.busy_since = now
    server_load.note_work(host, target)
    target.own_attempts[pending.key,
                        attempt.attempt_number] = attempt.uncached_tokens
    if pending.route.kind is model.Kind.STREAM:
        prefill_pauses.note_stream_sent(target, pending.route)
        prefill_pauses.note_prefill(
            target, server_load.queued_prefill_s(target, now), now)
    ending.mark_load_changed(host, pending, target)
    if pending.servers_used > 1:
        retry_budget.note_retry(host, pending.service, now)
    return attempt, source


def _record_prompt(host, pending, target, attempt, now):
    """Record what an engine has to read, fetch and keep in memory.

    Returns the server that it is to fetch from, or None.
    """
    prompt = pending.request.prompt
    source = prefix_cache.fetch_source(
        host, target, pending,
        server_choice.fetch_sources(host, pending, now), now)
    held = prefix_cache.cached_tokens(target, prompt)
    attempt.uncached_tokens = prefix_cache.prefill_tokens(
        host, target, pending)
    attempt.fetched_tokens = prefix_cache.fetchable_tokens(host, pending, held)
    attempt.reread_tokens = max(
        0, pending.cached_elsewhere_tokens - held - attempt.fetched_tokens)
    attempt.memory_tokens = prompt.tokens + prompt.max_output_tokens
    target.memory_tokens += attempt.memory_tokens
    engine = prefix_cache.engine_config(host, pending.service)
    if engine is not None:
        read_at = now + _prefill_s(host, pending, target,
                                   attempt.uncached_tokens, now)
        prefix_cache.note_cached(host, target, prompt, engine.memory, now,
                                 read_at)
    return source


def _prefill_s(host, pending, target, tokens, now):
    """Return how long an engine takes for a prompt and those before it."""
    schedule = services.find(host, pending.service)
    if schedule is not None:
        return placement.prefill_s(schedule.rates, target, tokens, now)
    return (server_load.queued_prefill_s(target, now)
            + server_load.prefill_s(target, tokens))
