"""What a host counts, and what of it goes to statsd."""

import unittest

from crocuskeel.core.entry import floors
from crocuskeel.core.entry import pace
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


LINES = (("opened", {"after_s": 0.25}), ("served", {"took_s": 1.5}),
         ("gave_up", {"why": "time is up"}), ("shed", {}),
         ("sent", {"fresh": 700, "fetch": 6300, "spill": 40}))


class MetricsTest(unittest.TestCase):
    """Counters and histograms."""

    def test_the_text_counts_every_line(self):
        counts = metrics.new_metrics(support.Driver().host)
        for line in LINES:
            counts.note(*line)
        text = counts.text().decode()
        self.assertIn('crocuskeel_decisions_total{kind="shed"} 1.0', text)
        self.assertIn('given_up_total{reason="time is up"} 1.0', text)
        self.assertIn("crocuskeel_served_seconds_sum 1.5", text)
        self.assertIn(
            'crocuskeel_prompt_tokens_total{how="fetched"} 6300.0', text)

    def test_the_text_tells_what_was_learned_of_engines(self):
        # Which streams long prompts may hold up follows from it.
        host = support.Driver().host
        pace.note_gap(pace.of_service(host, "engines"), 1.0, 0.2)
        text = metrics.new_metrics(host).text().decode()
        self.assertIn(
            'crocuskeel_reading_pause_seconds{service="engines"} 0.2', text)

    def test_the_text_tells_how_much_of_each_class_is_let_in(self):
        # An urgent class that gets less than others shows here first.
        host = support.Driver().host
        asked = support.pending(support.stream(), prompt=support.prompt())
        floors.note_arrived(host, asked, support.NOW)
        text = metrics.new_metrics(host).text().decode()
        self.assertIn(
            'let_in_share{priority="0",route="advice",service="engines"} 0',
            text)

    def test_the_text_tells_who_holds_the_duties(self):
        world = worlds.World(scaling=worlds.scaling(),
                             engines=worlds.engines())
        world.run(12)
        texts = {host.name: metrics.new_metrics(host.core).text().decode()
                 for host in world.hosts.values()}
        holds = [name for name, text in texts.items()
                 if "crocuskeel_holds_duties 1.0" in text]
        self.assertEqual([world.holder()], holds)
        self.assertIn('kind="spot",service="engines"', texts[holds[0]])

    def test_statsd_gets_the_same(self):
        client = _Client()
        counts = metrics._Metrics(support.Driver().host, client)
        for line in LINES:
            counts.note(*line)
        self.assertEqual([
            "decision.opened", ("first_event", 250.0), "decision.served",
            ("served", 1500.0), "decision.gave_up", "decision.shed",
            "decision.sent"], client.sent)
