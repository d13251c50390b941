"""Metrics of a host, and those that are sent to statsd."""

import unittest
from unittest import mock

from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import pause_estimate
from crocuskeel.gateway import metrics
from tests.duties import world as worlds
from tests.entry import support


class _Client:
    def __init__(self):
        self.sent = []

    def incr(self, name):
        self.sent.append(name)

    def timing(self, name, ms):
        self.sent.append((name, ms))


EVENTS = (("opened", {"after_s": 0.25}), ("served", {"took_s": 1.5}),
          ("gave_up", {"why": "time is up"}), ("shed", {}),
          ("sent", {"fresh": 700, "fetch": 6300, "spill": 40}))


class MetricsTest(unittest.TestCase):
    """Counters and histograms."""

    def test_log_events_are_counted(self):
        host_metrics = metrics.new_metrics(support.Driver().host)
        for event in EVENTS:
            host_metrics.count(*event)
        text = host_metrics.text().decode()
        self.assertIn('crocuskeel_decisions_total{kind="shed"} 1.0', text)
        self.assertIn('given_up_total{reason="time is up"} 1.0', text)
        self.assertIn("crocuskeel_served_seconds_sum 1.5", text)
        self.assertIn(
            'crocuskeel_prompt_tokens_total{how="fetched"} 6300.0', text)

    def test_pause_of_engines_is_exported(self):
        # The pause decides which streams may be delayed by long prompts.
        host = support.Driver().host
        pause_estimate.add_sample(
            pause_estimate.estimate_of(
                host, "engines"), 1.0, 0.2)
        text = metrics.new_metrics(host).text().decode()
        self.assertIn(
            'crocuskeel_reading_pause_seconds{service="engines"} 0.2', text)

    def test_admitted_share_of_each_class_is_exported(self):
        # Shows first if an urgent class is admitted less than others.
        host = support.Driver().host
        pending_request = support.request_state(
            support.stream(), prompt=support.prompt())
        class_minimums.note_arrived(host, pending_request, support.NOW)
        text = metrics.new_metrics(host).text().decode()
        self.assertIn(
            'let_in_share{priority="0",route="advice",service="engines"} 0',
            text)

    def test_held_and_shed_requests_are_counted_by_class_and_cause(self):
        # Without the cause an operator can't tell a full queue from engines
        # that are too slow. Services that aren't scheduled name none.
        host_metrics = metrics.new_metrics(support.Driver().host)
        host_metrics.count("held", {"route": "advice", "cause": "slots"})
        host_metrics.count("shed", {"route": "advice", "cause": "wait"})
        host_metrics.count("shed", {"route": "advice"})
        text = host_metrics.text().decode()
        for line in ('held_total{cause="slots",route="advice"} 1.0',
                     'shed_total{cause="wait",route="advice"} 1.0',
                     'shed_total{cause="",route="advice"} 1.0'):
            self.assertIn(f"crocuskeel_{line}", text)

    def test_backlog_and_rates_of_scheduled_services_are_exported(self):
        # A backlog that grows unseen is noticed by callers first. An engine
        # that drains is no capacity.
        host = support.Driver(support.stream(), servers=(
            support.server("e1", "engines"), support.server("e2", "engines"),
            support.server("e3", "engines", draining=True))).host
        host.schedules["engines"] = mock.Mock(
            room={"advice": (2, 9_000)},
            rates={"e1": 40_000, "e2": 90_000, "e3": 7})
        families = metrics._SchedulingCollector(
            host, dict, dict.__getitem__).collect()
        self.assertEqual(
            [("crocuskeel_queued_requests", "advice", 2),
             ("crocuskeel_queued_tokens", "advice", 9_000),
             ("crocuskeel_prefill_tokens_per_second", None, 130_000)],
            [(sample.name, sample.labels.get("route"), sample.value)
             for family in families for sample in family.samples])

    def test_holder_of_the_duties_is_exported(self):
        world = worlds.World(scaling=worlds.scaling(),
                             engines=worlds.engines())
        world.run(12)
        texts = {host.name: metrics.new_metrics(host.core).text().decode()
                 for host in world.hosts.values()}
        holders = [name for name, text in texts.items()
                   if "crocuskeel_holds_duties 1.0" in text]
        self.assertEqual([world.holder()], holders)
        self.assertIn('kind="spot",service="engines"', texts[holders[0]])

    def test_statsd_receives_the_events(self):
        client = _Client()
        host_metrics = metrics._Metrics(support.Driver().host, client)
        for event in EVENTS:
            host_metrics.count(*event)
        self.assertEqual([
            "decision.opened", ("first_event", 250.0), "decision.served",
            ("served", 1500.0), "decision.gave_up", "decision.shed",
            "decision.sent"], client.sent)
