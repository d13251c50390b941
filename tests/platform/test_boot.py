"""The platform's settings file."""

import unittest

from crocuskeel.platform import boot
from crocuskeel.platform import exceptions
from tests import odd_forms

VALID = """Node=front-a-1
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
HeartbeatMs=900
Something.New=1
"""


class BootTest(unittest.TestCase):
    """Valid and invalid files."""

    def test_valid_file(self):
        found = boot.parse_boot_settings(VALID)
        self.assertEqual(("10.1.0.40", 8227), found.front)
        self.assertEqual(("10.1.0.40", 7340), found.gossip)
        self.assertEqual(1.0, found.cores)
        self.assertEqual(52.0, found.settings.repeat_slack)
        self.assertEqual(0.9, found.settings.heartbeat_s)
        self.assertEqual(2, len(found.seeds))

    def test_all_errors_are_reported_together(self):
        text = VALID.replace("10.1.0.40:8227", "nowhere").replace(
            "7340,7355", "7340").replace("=0.5", "=half")
        with self.assertRaises(exceptions.BootSettingsError) as caught:
            boot.parse_boot_settings(text)
        reported = " ".join(caught.exception.errors)
        for field in ("Listen.Front", "PortRange", "Limits.CpuShare"):
            self.assertIn(field, reported)

    def test_odd_addresses_are_errors(self):
        # The process ended with a traceback, or at the first connection.
        for field in ("Listen.Front", "Listen.Ready", "Platform.Addr",
                      "Cloud.Addr", "PortRange"):
            for port in odd_forms.PORTS:
                value = f"7,{port}" if field == "PortRange" else f"h:{port}"
                with self.subTest(field=field, port=port[:9]):
                    with self.assertRaises(
                            exceptions.BootSettingsError) as caught:
                        boot.parse_boot_settings(
                            f"{VALID}Cloud.Duties=usage\n{field}={value}\n")
                    (error, *_) = caught.exception.errors
                    self.assertLess(len(error), 200)

    def test_odd_seed_is_left_out(self):
        for port in odd_forms.PORTS:
            found = boot.parse_boot_settings(
                f"{VALID}Seeds=10.2.0.29:8229,h:{port}\n")
            self.assertEqual((("10.2.0.29", 8229), ), found.seeds)
            self.assertEqual((f"h:{port}"[:100], ), found.unusable_seeds)

    def test_odd_numbers_are_errors(self):
        for value in ("1e400", "nan", "-inf", odd_forms.DIGITS, "x"):
            with self.assertRaises(exceptions.BootSettingsError):
                boot.parse_boot_settings(f"{VALID}HeartbeatMs={value}\n")
        # Times were divided by it.
        for value in ("0", "1e-300", "-5"):
            with self.assertRaises(exceptions.BootSettingsError):
                boot.parse_boot_settings(
                    f"{VALID}Bounds.ReportWindowS={value}\n")

    def test_missing_fields_and_malformed_lines(self):
        with self.assertRaises(exceptions.BootSettingsError) as caught:
            boot.parse_boot_settings("Node=x\nrubbish\n")
        reported = " ".join(caught.exception.errors)
        self.assertIn("line 2", reported)
        self.assertIn("Platform.Addr", reported)
