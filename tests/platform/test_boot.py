"""The platform's settings file."""

import unittest

from crocuskeel.platform import boot
from crocuskeel.platform import exceptions

GOOD = """Node=front-a-1
Zone=a
Ip=10.1.0.40
Listen.Front=10.1.0.40:8227
Listen.Ready=10.1.0.40:8220
Listen.Control=10.1.0.40:8229
Listen.Dir=10.1.0.40:8224
PortRange=7340,7355
Seeds=10.1.0.40:8229,10.2.0.29:8229
Limits.CpuShare=0.5
Limits.Cores=2
Platform.Addr=10.200.1.7:8223
Bounds.BudgetSlack=52
Something.New=1
"""


class BootTest(unittest.TestCase):
    """Good and bad files."""

    def test_a_good_file(self):
        found = boot.read_boot(GOOD)
        self.assertEqual(("10.1.0.40", 8227), found.front)
        self.assertEqual(("10.1.0.40", 7340), found.gossip)
        self.assertEqual(1.0, found.cores)
        self.assertEqual(52.0, found.settings.repeat_slack)
        self.assertEqual(2, len(found.seeds))

    def test_every_fault_is_named_at_once(self):
        text = GOOD.replace("10.1.0.40:8227", "nowhere").replace(
            "7340,7355", "7340").replace("=0.5", "=half")
        with self.assertRaises(exceptions.BadBoot) as caught:
            boot.read_boot(text)
        named = " ".join(caught.exception.faults)
        for field in ("Listen.Front", "PortRange", "Limits.CpuShare"):
            self.assertIn(field, named)

    def test_missing_fields_and_lines_of_another_form(self):
        with self.assertRaises(exceptions.BadBoot) as caught:
            boot.read_boot("Node=x\nrubbish\n")
        named = " ".join(caught.exception.faults)
        self.assertIn("line 2", named)
        self.assertIn("Platform.Addr", named)
