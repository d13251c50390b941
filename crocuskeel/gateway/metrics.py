"""Counters and histograms of a host: as text, and to statsd if asked."""

from crocuskeel.core.duties import demand
from crocuskeel.core.entry import ratelimits
import prometheus_client
from prometheus_client import core

__all__ = ["new_metrics"]

PREFIX = "crocuskeel.entry"
# Upper bounds, s: around the goals of calls (0.1 to 0.4) and of first
# tokens (1.2 to 2.5).
BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.0, 2.5, 4.0, 8.0)


class _Paces:
    """What the host has learned of each service's engines, when read."""

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
        for service, seen in self.host.paces.items():
            pause.add_metric([service], seen.gap_s)
            samples.add_metric([service], seen.samples)
        yield pause
        yield samples


class _Classes:
    """What was let in of each class of prompts lately, when read."""

    def __init__(self, host):
        self.host = host

    def collect(self):
        """Yield the family of metrics."""
        shares = core.GaugeMetricFamily(
            "crocuskeel_let_in_share",
            "Share of a class's requests that went to an engine lately.",
            labels=["service", "route", "priority"])
        for service, classes in self.host.served.items():
            for route, seen in classes.items():
                shares.add_metric(
                    [service, route, str(seen.priority)], seen.share())
        yield shares


class _Duties:
    """What the host knows of the platform's duties, when read."""

    def __init__(self, host):
        self.host = host

    def collect(self):
        """Yield the families of metrics; none without duties."""
        duties = self.host.duties
        if duties is None:
            return
        lease = duties.candidate.lease
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
            value=len(duties.book.decided))
        engines = core.GaugeMetricFamily(
            "crocuskeel_engines_asked",
            "Engines that this host asked for as the holder.",
            labels=["service", "domain", "kind"])
        for subject, count in duties.book.asked.items():
            _, service, domain, spot = subject
            engines.add_metric(
                [service, domain, "spot" if spot else "regular"], count)
        yield engines
        needed = core.GaugeMetricFamily(
            "crocuskeel_engines_needed",
            "Engines' worth of work that the holder sees, at the most.",
            labels=["service"])
        for service, known in duties.demands.items():
            needed.add_metric([service], demand.need(known))
        yield needed


class _Unheard:
    """For how long the store gave no answer, when read.

    ``unheard_s()`` returns seconds by kind of object.
    """

    def __init__(self, unheard_s):
        self.unheard_s = unheard_s

    def collect(self):
        """Yield the family of metrics."""
        unheard = core.GaugeMetricFamily(
            "crocuskeel_store_unheard_seconds",
            "Time since the store last answered, by kind of object.",
            labels=["kind"])
        for kind, span_s in self.unheard_s().items():
            unheard.add_metric([kind], span_s)
        yield unheard


class _Metrics:
    """Counts what the log tells, also lines that it leaves out.

    ``statsd`` is a client with ``incr`` and ``timing``, or None.
    """

    def __init__(self, host, statsd):
        self.statsd = statsd
        self.registry = prometheus_client.CollectorRegistry()
        self.lines = prometheus_client.Counter(
            "crocuskeel_decisions", "Decisions and changes, by kind.",
            ["kind"], registry=self.registry)
        self.refused = prometheus_client.Counter(
            "crocuskeel_given_up", "Requests given up, by reason.",
            ["reason"], registry=self.registry)
        self.tokens = prometheus_client.Counter(
            "crocuskeel_prompt_tokens",
            "Tokens of prompts sent to engines, by what these do of them.",
            ["how"], registry=self.registry)
        self.whole = self._histogram(
            "crocuskeel_served_seconds", "Arrival to the whole answer.")
        self.first = self._histogram(
            "crocuskeel_first_event_seconds",
            "Sending to a stream's first event.")
        self._gauge("crocuskeel_pending", "Requests in progress.",
                    lambda: len(host.pending))
        self._gauge("crocuskeel_servers", "Backend servers known.",
                    lambda: len(host.servers))
        self._gauge("crocuskeel_rate_limited_servers",
                    "Backend servers that name a rate in their answers.",
                    lambda: ratelimits.limited(host))
        self._gauge("crocuskeel_catalog_revision",
                    "Revision of the configuration in force.",
                    lambda: host.catalog.revision if host.catalog else 0)

        self.registry.register(_Paces(host))
        self.registry.register(_Classes(host))
        self.registry.register(_Duties(host))

    def _histogram(self, name, text):
        return prometheus_client.Histogram(
            name, text, buckets=BOUNDS_S, registry=self.registry)

    def _gauge(self, name, text, read):
        gauge = prometheus_client.Gauge(
            name, text, registry=self.registry)
        gauge.set_function(read)

    def show_unheard(self, unheard_s):
        """Show what ``unheard_s()`` returns: seconds by kind."""
        self.registry.register(_Unheard(unheard_s))

    def note(self, event, fields):
        """Count one line of the log."""
        self.lines.labels(event).inc()
        if event == "served":
            self.whole.observe(fields["took_s"])
        elif event == "opened":
            self.first.observe(fields["after_s"])
        elif event == "gave_up":
            self.refused.labels(fields["why"]).inc()
        elif event == "sent":
            self._count_tokens(fields)
        if self.statsd is not None:
            self._send(event, fields)

    def _count_tokens(self, fields):
        self.tokens.labels("read").inc(fields["fresh"])
        self.tokens.labels("fetched").inc(fields["fetch"])
        self.tokens.labels("read_again").inc(fields["spill"])

    def _send(self, event, fields):
        """Send the same to statsd, by UDP: nothing waits for it."""
        self.statsd.incr(f"decision.{event}")
        if event == "served":
            self.statsd.timing("served", fields["took_s"] * 1000)
        elif event == "opened":
            self.statsd.timing("first_event", fields["after_s"] * 1000)

    def text(self):
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


def new_metrics(host, statsd_address=None):
    """Return metrics of an entry host's state.

    ``statsd_address`` is an (ip, port) to send to, or None.
    """
    client = None
    if statsd_address is not None:
        # Only who sends to it needs the library.
        import statsd
        client = statsd.StatsClient(*statsd_address, PREFIX)
    return _Metrics(host, client)
