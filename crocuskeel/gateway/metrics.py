"""Metrics of a host: in the Prometheus text format, and to statsd."""

from crocuskeel.core.duties import demand
from crocuskeel.core.entry import ratelimits
import prometheus_client
from prometheus_client import core

__all__ = ["new_metrics"]

PREFIX = "crocuskeel.entry"
# Bounds of the buckets, s: around the targets of calls (0.1 to 0.4) and of
# first tokens (1.2 to 2.5).
HISTOGRAM_BUCKETS_S = (
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.0, 2.5, 4.0, 8.0)


class _PauseCollector:
    """Collects the estimated pauses of each service's engines."""

    def __init__(self, host):
        self.host = host

    def collect(self):
        """Yield the families of metrics."""
        pause = core.GaugeMetricFamily(
            "crocuskeel_reading_pause_seconds",
            "Longest usual pause of a stream while its engine reads.",
            labels=["service"])
        samples = core.CounterMetricFamily(
            "crocuskeel_reading_pauses",
            "Pauses from which it is estimated.", labels=["service"])
        for service, seen in self.host.stream_pauses.items():
            pause.add_metric([service], seen.pause_s)
            samples.add_metric([service], seen.samples)
        yield pause
        yield samples


class _ClassCollector:
    """Collects the recent share of admitted requests by class."""

    def __init__(self, host):
        self.host = host

    def collect(self):
        """Yield the family of metrics."""
        shares = core.GaugeMetricFamily(
            "crocuskeel_let_in_share",
            "Share of a class's requests that went to an engine lately.",
            labels=["service", "route", "priority"])
        for service, classes in self.host.class_stats.items():
            for route, seen in classes.items():
                shares.add_metric(
                    [service, route, str(seen.priority)],
                    seen.admitted_share())
        yield shares


class _DutyCollector:
    """Collects the state of the platform's duties."""

    def __init__(self, host):
        self.host = host

    def collect(self):
        """Yield the families of metrics; none without duties."""
        duties = self.host.duties
        if duties is None:
            return
        lease = duties.lease_state.lease
        yield core.GaugeMetricFamily(
            "crocuskeel_holds_duties",
            "1 if this host holds the lease of the duties.",
            value=lease.holding)
        yield core.GaugeMetricFamily(
            "crocuskeel_duties_fence",
            "Fence of the holder that this host knows of.",
            value=duties.leader.fence)
        yield core.GaugeMetricFamily(
            "crocuskeel_windows_unreported",
            "Windows that were decided and are not reported yet.",
            value=len(duties.handover.decided))
        engines = core.GaugeMetricFamily(
            "crocuskeel_engines_asked",
            "Engines that this host asked for as the holder.",
            labels=["service", "domain", "kind"])
        for subject, count in duties.handover.asked.items():
            _, service, domain, spot = subject
            engines.add_metric(
                [service, domain, "spot" if spot else "regular"], count)
        yield engines
        needed = core.GaugeMetricFamily(
            "crocuskeel_engines_needed",
            "Engines' worth of work that the holder sees, at the most.",
            labels=["service"])
        for service, known in duties.demands.items():
            needed.add_metric([service], demand.peak_need(known))
        yield needed


class _SchedulingCollector:
    """Collects the backlog and the learned rates of scheduled services.

    ``read_backlog(room)`` returns {route: (requests, tokens)}, and
    ``read_rate(rates, sid)`` the tokens a second that a server prefills.
    """

    def __init__(self, host, read_backlog, read_rate):
        self.host = host
        self.read_backlog = read_backlog
        self.read_rate = read_rate

    def collect(self):
        """Yield the families of metrics; no samples without scheduling."""
        requests = core.GaugeMetricFamily(
            "crocuskeel_queued_requests", "Requests that wait at this host.",
            labels=["service", "route"])
        tokens = core.GaugeMetricFamily(
            "crocuskeel_queued_tokens",
            "Prompt tokens of requests that wait at this host.",
            labels=["service", "route"])
        for service, schedule in self.host.schedules.items():
            for route, queued in self.read_backlog(schedule.room).items():
                requests.add_metric([service, route], queued[0])
                tokens.add_metric([service, route], queued[1])
        yield requests
        yield tokens
        rate = core.GaugeMetricFamily(
            "crocuskeel_prefill_tokens_per_second",
            "Learned prefill rate of a service's engines together.",
            labels=["service"])
        for service, schedule in self.host.schedules.items():
            rate.add_metric([service], sum(
                self.read_rate(schedule.rates, state.server.sid)
                for state in self.host.by_service.get(service, ())
                if not state.server.draining))
        yield rate


def _read_backlog(room):
    # Hosts without scheduled services don't load these modules.
    from crocuskeel.core.scheduling import waiting_room

    return waiting_room.backlog(room)


def _read_rate(rates, sid):
    from crocuskeel.core.scheduling import rates as prefill_rates

    return prefill_rates.tokens_per_s(rates, sid)


class _MemoryCollector:
    """Collects the memory of the process, and what requests hold of it."""

    def __init__(self, host, memory):
        self.host = host
        self.memory = memory

    def collect(self):
        """Yield the families of metrics; no budgets without a limit."""
        held = core.GaugeMetricFamily(
            "crocuskeel_memory_held_bytes",
            "Memory that is held for requests and answers, by kind.",
            labels=["kind"])
        for kind, size in self.memory.held_by_kind().items():
            held.add_metric([kind], size)
        yield held
        if not self.memory.limit:
            return
        budget = core.GaugeMetricFamily(
            "crocuskeel_memory_budget_bytes",
            "Memory for requests and answers, and its parts.",
            labels=["kind"])
        known = self.host.memory
        for kind, size in (("total", known.total),
                           ("bodies", known.for_bodies),
                           ("answers", known.for_answers),
                           ("unread", known.for_unread)):
            budget.add_metric([kind], size)
        yield budget
        yield core.GaugeMetricFamily(
            "crocuskeel_memory_limit_bytes",
            "Memory that the process may use.", value=self.memory.limit)
        yield core.GaugeMetricFamily(
            "crocuskeel_memory_resident_bytes",
            "Memory that the process uses; 0 if it is unknown.",
            value=self.memory.resident or 0)
        yield core.GaugeMetricFamily(
            "crocuskeel_bodies_waiting",
            "Large request bodies that wait for memory.",
            value=len(known.waiting))


class _LastAnswerAgeCollector:
    """Collects the time since the store last answered.

    ``last_answer_age_s()`` returns that time in seconds by kind of object.
    """

    def __init__(self, last_answer_age_s):
        self.last_answer_age_s = last_answer_age_s

    def collect(self):
        """Yield the family of metrics."""
        age = core.GaugeMetricFamily(
            "crocuskeel_store_unheard_seconds",
            "Time since the store last answered, by kind of object.",
            labels=["kind"])
        for kind, span_s in self.last_answer_age_s().items():
            age.add_metric([kind], span_s)
        yield age


class _Metrics:
    """Counts log events, including lines that the log drops.

    ``statsd`` is a client with ``incr`` and ``timing``, or None.
    """

    def __init__(self, host, statsd):
        self.statsd = statsd
        self.host = host
        self.registry = prometheus_client.CollectorRegistry()
        self.decisions = prometheus_client.Counter(
            "crocuskeel_decisions", "Decisions and changes, by kind.",
            ["kind"], registry=self.registry)
        self.given_up = prometheus_client.Counter(
            "crocuskeel_given_up", "Requests given up, by reason.",
            ["reason"], registry=self.registry)
        self.tokens = prometheus_client.Counter(
            "crocuskeel_prompt_tokens",
            "Tokens of prompts sent to engines, by what these do of them.",
            ["how"], registry=self.registry)
        self.held = prometheus_client.Counter(
            "crocuskeel_held", "Requests that had to wait, by cause.",
            ["route", "cause"], registry=self.registry)
        self.shed = prometheus_client.Counter(
            "crocuskeel_shed", "Requests rejected for load, by cause.",
            ["route", "cause"], registry=self.registry)
        self.served_s = self._histogram(
            "crocuskeel_served_seconds", "Arrival to the whole answer.")
        self.first_event_s = self._histogram(
            "crocuskeel_first_event_seconds",
            "Sending to a stream's first event.")
        self._gauge("crocuskeel_pending", "Requests in progress.",
                    lambda: len(host.pending))
        self._gauge("crocuskeel_servers", "Backend servers known.",
                    lambda: len(host.servers))
        self._gauge("crocuskeel_rate_limited_servers",
                    "Backend servers that name a rate in their answers.",
                    lambda: ratelimits.count_limited(host))
        self._gauge("crocuskeel_catalog_revision",
                    "Revision of the configuration in force.",
                    lambda: host.catalog.revision if host.catalog else 0)

        self.registry.register(_PauseCollector(host))
        self.registry.register(_ClassCollector(host))
        self.registry.register(_DutyCollector(host))
        self.registry.register(
            _SchedulingCollector(host, _read_backlog, _read_rate))

    def _histogram(self, name, text):
        return prometheus_client.Histogram(
            name, text, buckets=HISTOGRAM_BUCKETS_S, registry=self.registry)

    def _gauge(self, name, text, read):
        gauge = prometheus_client.Gauge(
            name, text, registry=self.registry)
        gauge.set_function(read)

    def register_memory(self, memory):
        """Add the metrics of a memory.HostMemory."""
        self.registry.register(_MemoryCollector(self.host, memory))

    def register_last_answer_age(self, last_answer_age_s):
        """Add the metric of the time since the store last answered."""
        self.registry.register(_LastAnswerAgeCollector(last_answer_age_s))

    def count(self, event, fields):
        """Count a log event."""
        self.decisions.labels(event).inc()
        if event == "served":
            self.served_s.observe(fields["took_s"])
        elif event == "opened":
            self.first_event_s.observe(fields["after_s"])
        elif event == "gave_up":
            self.given_up.labels(fields["why"]).inc()
        elif event == "sent":
            self._count_tokens(fields)
        elif event == "held":
            _count_by_cause(self.held, fields)
        elif event == "shed":
            _count_by_cause(self.shed, fields)
        if self.statsd is not None:
            self._send_to_statsd(event, fields)

    def _count_tokens(self, fields):
        self.tokens.labels("read").inc(fields["fresh"])
        self.tokens.labels("fetched").inc(fields["fetch"])
        self.tokens.labels("read_again").inc(fields["spill"])

    def _send_to_statsd(self, event, fields):
        """Send the event to statsd by UDP, which does not block."""
        self.statsd.incr(f"decision.{event}")
        if event == "served":
            self.statsd.timing("served", fields["took_s"] * 1000)
        elif event == "opened":
            self.statsd.timing("first_event", fields["after_s"] * 1000)

    def text(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def _count_by_cause(counter, fields):
    """Count a log line; one without a cause counts under the empty one."""
    counter.labels(fields.get("route", ""), fields.get("cause", "")).inc()


def new_metrics(host, statsd_address=None):
    """Return the metrics of an entry host.

    ``statsd_address`` is the (ip, port) of a statsd server, or None.
    """
    client = None
    if statsd_address is not None:
        # The library is needed only with statsd.
        import statsd
        client = statsd.StatsClient(*statsd_address, PREFIX)
    return _Metrics(host, client)
