"""Entry hosts as processes, started as the deploy file says."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from review.common import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The deploy file names this port for metrics.
METRICS_PORT = 9464
PORTS = {"Front": 8227, "Ready": 8220, "Control": 8229, "Dir": 8224}
FIRST_PORT, LAST_PORT = 7340, 7355
SETTINGS = """Node={name}
Role=entry
MachineClass=front
Serves=front,control,directory
Ip={ip}
Zone={zone}
Region=mx-norte
Zones.mty-a=mx-norte
Zones.mty-b=mx-norte
Zones.mty-c=mx-norte
Listen.Front={ip}:8227
Listen.Ready={ip}:8220
Listen.Control={ip}:8229
Listen.Dir={ip}:8224
PortRange=7340,7355
Seeds={seeds}
Bootstrap=true
LossCounts=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=150
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=directory
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
FaultTolerance.Nodes=2
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableMs=3000
Bounds.AckMs=4000
Bounds.SyncS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.BackMs=250
Bounds.StretchMaxMs=5000
Bounds.StrictRevoke=false
Bounds.RevokeMs=5000
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=54
Bounds.RecoverS=12
Bounds.PassMs=120
Bounds.AgainS=7.2
Bounds.ttl_max_s=5
Platform.Addr={store}
Platform.form=objects
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
"""
ZONES = ("mty-a", "mty-b", "mty-c")
# "A process that exceeds MemoryMb is killed."
MEMORY_MB = 150


class CannotRun(Exception):
    """The case can't run on this machine now."""


def free_net(count):
    """Return three octets whose first addresses have the ports free."""
    ports = [*PORTS.values(), METRICS_PORT]
    for offset in range(200):
        number = (os.getpid() + 37 * offset) % 25000
        net = f"127.{100 + number // 250}.{1 + number % 250}"
        if all(_is_free(f"{net}.{index + 1}", port)
               for index in range(count) for port in ports):
            return net
    raise CannotRun("no free loopback addresses")


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Hosts:
    """Starts, signals and ends the processes of entry hosts."""

    def __init__(self, record, folder, net, count, store_address):
        self.record = record
        self.folder = pathlib.Path(folder)
        self.ips = [f"{net}.{number + 1}" for number in range(count)]
        self.store_address = store_address
        self.processes = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split(" ")
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build")

    def start(self, number):
        """Start the process of a host."""
        ip = self.ips[number]
        path = self.folder / f"boot-{number}.conf"
        seeds = ",".join(f"{each}:{PORTS['Control']}"
                         for each in self.ips[:3])
        path.write_text(SETTINGS.format(
            name=f"front-{number}", ip=ip, zone=ZONES[number % 3],
            seeds=seeds, store=self.store_address))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env["CROCUSKEEL_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"host-{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log,
                stderr=subprocess.STDOUT)
        self.record.add("host_started", host=number, ip=ip)

    def signal(self, number, name):
        """Send a signal to a host."""
        self.processes[number].send_signal(getattr(signal, name))
        return self.record.add("signal", host=number, name=name)

    async def until_ready(self, number, timeout_s=20.0):
        """Wait until a host answers its readiness check with 200."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + timeout_s
        while loop.time() < ends:
            if self.processes[number].poll() is not None:
                raise CannotRun(f"host {number} ended: "
                                + self.log(number)[-2000:])
            if await self.is_ready(number):
                self.record.add("host_ready", host=number)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"host {number} is not ready: "
                        + self.log(number)[-2000:])

    async def is_ready(self, number):
        """Return whether a host answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ips[number], PORTS["Ready"])
        except OSError:
            return False
        try:
            writer.write(http.head("GET /crocuskeel/ready HTTP/1.1",
                                   [("Host", "ready")]))
            message = await asyncio.wait_for(http.read_answer(reader), 1.0)
            return message.status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def log(self, number):
        """Return what a host has logged."""
        path = self.folder / f"host-{number}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def front(self, number):
        """Return (ip, port) for callers."""
        return self.ips[number], PORTS["Front"]

    async def wait_ended(self, number, timeout_s):
        """Wait until the process of a host has ended; return whether."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + timeout_s
        while loop.time() < ends:
            if self.processes[number].poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
