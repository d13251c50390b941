"""Entry hosts as processes, each on its own loopback address."""

import pathlib
import signal
import socket
import subprocess
import sys

__all__ = ["Fleet"]

PORTS = {"Front": 18080, "Ready": 18081, "Control": 18082, "Dir": 18083}
# Interval of polling for the exit of a killed process, s.
EXIT_POLL_S = 0.05
BOOT_SETTINGS = """Node={name}
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
    """Starts, signals and stops the host processes by their numbers.

    ``net`` is the first two octets of their addresses; ``cloud`` is the
    address of the cloud API that duties call.
    """

    def __init__(self, folder, net, count, cloud):
        self.folder = pathlib.Path(folder)
        self.net = net
        self.cloud = cloud
        self.ips = [f"{net}.1.{number + 1}" for number in range(count)]
        self.processes = {}
        # The store address of each host, and how often it was started.
        self.store_addresses = {}
        self.start_counts = [0] * count
        self.restarting = set()

    def addresses_in_use(self):
        """Return the host addresses on which a process already listens.

        A killed run leaves its hosts behind, and the next run with its seed
        would send requests to those.
        """
        return [f"{ip}:{PORTS['Front']}" for ip in self.ips
                if _is_in_use(ip, PORTS["Front"])]

    def start(self, number, store=None):
        """Start a host; ``store`` is required the first time."""
        self.store_addresses.setdefault(number, store)
        self.start_counts[number] += 1
        path = self.write_settings(number)
        with open(self.folder / f"host-{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "tools.soak.host", self.ips[number],
                 "--settings", str(path)], stdout=log, stderr=log)

    def write_settings(self, number, slack=50):
        """Write a host's settings file; return its path."""
        path = self.folder / f"host-{number}.conf"
        path.write_text(BOOT_SETTINGS.format(
            name=f"host-{number}", zone=number % 3, ip=self.ips[number],
            net=self.net, store=self.store_addresses[number], slack=slack,
            cloud=self.cloud))
        return path

    def signal(self, number, name):
        """Send a signal to a host if its process is running."""
        process = self.processes[number]
        if process.poll() is None:
            process.send_signal(signal.Signals[name])

    def logs(self):
        """Return the lines of the hosts' logs by address."""
        return {ip: (self.folder / f"host-{number}.log").read_text(
            errors="replace").splitlines()
            for number, ip in enumerate(self.ips)}

    def has_ended(self, number):
        """Return whether the process of a host has exited."""
        return self.processes[number].poll() is not None

    def listens(self, number):
        """Return whether a host accepts connections of callers."""
        return _is_in_use(self.ips[number], PORTS["Front"])

    def restart(self, number, call_later):
        """Start a host again once its process has exited.

        The exit is polled with ``call_later(delay, function, ...)``: on a busy
        machine a killed process takes seconds to exit, and waiting for it
        would block the whole run. Only one restart may be pending: two
        would both start the host, and one process would outlive the run.
        """
        if number not in self.restarting:
            self.restarting.add(number)
            self._start_when_ended(number, call_later)

    def _start_when_ended(self, number, call_later):
        if self.processes[number].poll() is None:
            call_later(EXIT_POLL_S, self._start_when_ended, number, call_later)
            return
        self.restarting.discard(number)
        self.start(number)

    def stop(self):
        """Kill all processes that this fleet started.

        All are killed before any is waited for: if one does not exit in
        time, the others don't stay behind at their addresses.
        """
        for number in self.processes:
            self.signal(number, "SIGCONT")
            self.signal(number, "SIGKILL")
        for process in self.processes.values():
            process.wait(timeout=10)


def _is_in_use(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return True
    return False
