"""Entry hosts as processes on loopback addresses of their own."""

import pathlib
import signal
import socket
import subprocess
import sys

__all__ = ["Fleet"]

PORTS = {"Front": 18080, "Ready": 18081, "Control": 18082, "Dir": 18083}
# How often a killed process is looked at, s.
ENDED_S = 0.05
BOOT = """Node={name}
Zone=zone-{zone}
Ip={ip}
Listen.Front={ip}:18080
Listen.Ready={ip}:18081
Listen.Control={ip}:18082
Listen.Dir={ip}:18083
PortRange=18090,18099
Seeds={net}.1.1:18082,{net}.1.2:18082
Platform.Addr={store}
Bounds.GraceS=8
Bounds.BudgetSlack={slack}
Bounds.LeaseMs=3000
Bounds.ReportWindowS=2
Bounds.UsageLagS=10
Cloud.Addr={cloud}
Cloud.Duties=usage,scale
"""


class Fleet:
    """Starts, signals and ends the processes, by their ids.

    ``net`` is the first two numbers of their addresses; ``cloud`` is
    where duties are reported.
    """

    def __init__(self, folder, net, count, cloud):
        self.folder = pathlib.Path(folder)
        self.net = net
        self.cloud = cloud
        self.ips = [f"{net}.1.{number + 1}" for number in range(count)]
        self.processes = {}
        # Where each host finds the store, and how often it was started.
        self.stores = {}
        self.boots = [0] * count
        self.restarting = set()

    def taken(self):
        """Return the addresses of hosts where somebody listens already.

        A run that was killed leaves its hosts behind; the next one with
        its seed would ask those.
        """
        return [f"{ip}:{PORTS['Front']}" for ip in self.ips
                if _is_taken(ip, PORTS["Front"])]

    def start(self, number, store=None):
        """Start a host; ``store`` is needed the first time."""
        self.stores.setdefault(number, store)
        self.boots[number] += 1
        path = self.write_settings(number)
        with open(self.folder / f"host-{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "crocuskeel.programs.entry",
                 "--settings", str(path)], stdout=log, stderr=log)

    def write_settings(self, number, slack=50):
        """Write a host's settings file; return its path."""
        path = self.folder / f"host-{number}.conf"
        path.write_text(BOOT.format(
            name=f"host-{number}", zone=number % 3, ip=self.ips[number],
            net=self.net, store=self.stores[number], slack=slack,
            cloud=self.cloud))
        return path

    def signal(self, number, name):
        """Send a signal to a host, if it lives."""
        process = self.processes[number]
        if process.poll() is None:
            process.send_signal(signal.Signals[name])

    def restart(self, number, later):
        """Start a host again once it has ended.

        ``later(span, function, ...)`` calls it then: on a busy machine a
        killed process takes seconds to go, and waiting for it held up the
        whole run. One restart at a time: two would both start it, and one
        of the processes would outlive the run.
        """
        if number not in self.restarting:
            self.restarting.add(number)
            self._start_when_ended(number, later)

    def _start_when_ended(self, number, later):
        if self.processes[number].poll() is None:
            later(ENDED_S, self._start_when_ended, number, later)
            return
        self.restarting.discard(number)
        self.start(number)

    def stop(self):
        """End all processes that this fleet started."""
        for number, process in self.processes.items():
            self.signal(number, "SIGCONT")
            self.signal(number, "SIGKILL")
            process.wait(timeout=10)


def _is_taken(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return True
    return False
