"""What is done to a fleet, one thing after the other, drawn from a seed."""

import time

from tools.rig import load as loads

__all__ = ["MIXES", "Schedule", "new_config"]

ENGINES = ("engines", "others", *loads.LONE)
SLOTS = dict.fromkeys(ENGINES, 40) | {"plain": 16}
# A service that takes over routes of the others, in mixes that move them.
SPARE, SPARE_SLOTS = "spare", 40
SERVERS = 4
# Seconds from one thing to the next, of one that disturbs, and after it.
GAP_S = (0.1, 1.2)
CUT_S = (0.4, 4.0)
# Shorter than what anybody notices, than a watch, and longer.
CUTS_S = ((0.05, 0.4), (0.4, 1.75), (1.75, 6.0))
WAYS = ("peers", "store", "both", "alone", "unheard", "unreached",
        "store unheard", "store unreached")
PAUSE_S = (0.3, 2.5)
OUTAGE_S = (0.3, 3.0)
# Streams of a version that has left aren't taken up after this, s.
ALONE_S = 17.0
SERIES_S = (0.0, 0.3, 1.3, 3.5)
# A host that is short of processor time is stopped and runs in turns, s.
TURN_S = 0.05
SHORT_S = (1.0, 5.0)
# Shares of configurations that drop or move a route, or drop a key.
DROP_SHARE, MOVE_SHARE, SPLIT_SHARE, KEY_SHARE = 0.15, 0.2, 0.2, 0.25


def new_config(version, rng, slots):
    """Return a configuration; limits, aims and connections differ.

    ``slots`` are those of an engine.
    """
    routes = [{
        "Name": kind.name, "Host": loads.HOST, "Prefix": f"/{kind.name}/",
        "Kind": kind.route, "TimeoutMs": 15_000 + rng.randrange(1000),
        "GoalMs": rng.randrange(800, 1500), "Attempts": kind.attempts,
        "Resumable": kind.resumable, "GapAimMs": 1000,
        "Priority": rng.randrange(3), "Public": True, "Service": kind.service,
        "Split": [{"Service": each, "Weight": 1} for each in kind.split]}
        for kind in loads.KINDS]
    routes += [{
        "Name": f"v{version}", "Host": loads.HOST, "Prefix": f"/v{version}/",
        "Kind": "safe", "TimeoutMs": 2000, "GoalMs": 500, "Attempts": 1,
        "Priority": 0, "Public": True, "Service": "plain"}]
    services = [
        {"Name": "plain", "MaxConns": 500 + rng.randrange(50),
         "HealthPath": "/health"},
        *({"Name": name, "MaxConns": 500 + rng.randrange(50),
           "HealthPath": "/health",
           "Engine": {"Slots": slots, "KvTokens": 400_000}}
          for name in ENGINES)]
    return {"Version": version, "Routes": routes, "Services": services}


def reroute(config, rng):
    """Drop, move and split routes of a configuration; drop keys, services.

    Limits on what callers may send differ, too.
    """
    routes = []
    for route in config["Routes"]:
        route = {**route, "Public": rng.random() < 0.3}
        draw = rng.random()
        if draw < DROP_SHARE:
            continue
        if draw < DROP_SHARE + MOVE_SHARE:
            route["Service"] = SPARE
        elif draw < DROP_SHARE + MOVE_SHARE + SPLIT_SHARE:
            route["Split"] = [{"Service": name, "Weight": rng.randint(1, 3)}
                              for name in (route["Service"], SPARE)]
        routes.append(route)
    services = [*config["Services"], {
        "Name": SPARE, "MaxConns": 500, "HealthPath": "/health"}]
    if rng.random() < DROP_SHARE:
        gone = rng.choice(services)["Name"]
        services = [each for each in services if each["Name"] != gone]
        routes = [route for route in routes if gone not in (
            route["Service"],
            *(part["Service"] for part in route.get("Split", ())))]
    keys = [key for key in loads.API_KEYS if rng.random() >= KEY_SHARE]
    return {**config, "Routes": routes, "Services": services, "Tenants": [
        {"Name": f"tenant-{key}", "ApiKeys": [key],
         "Priority": rng.randrange(3)} for key in keys],
        "Limits": {"HeaderTimeoutMs": rng.choice((500, 3000)),
                   "IdleTimeoutMs": rng.choice((200, 1000, 15_000)),
                   "MaxHeaderBytes": rng.choice((8192, 16_384))}}


class Schedule:
    """Draws what is done next, and does it."""

    def __init__(self, fleet, rng, mix, servers=SERVERS, slots=None):
        self.fleet = fleet
        self.rng = rng
        self.servers = servers
        self.slots = dict(SLOTS)
        if Schedule.reroute in MIXES[mix]:
            self.slots[SPARE] = SPARE_SLOTS
        if slots is not None:
            self.slots = dict.fromkeys(self.slots, slots)
        self.mix = MIXES[mix]
        self.version = 0
        self.software = dict.fromkeys(self.slots, 1)
        # When each service changed last.
        self.changed_at = dict.fromkeys(self.slots, 0.0)

    def begin(self):
        """Start servers, hosts and a configuration; return if all is ready."""
        for service, slots in self.slots.items():
            for _ in range(self.servers):
                self.fleet.tell_backends("add", service, "v1", slots)
        self.configure()
        for ip in self.fleet.ips:
            self.fleet.start(ip)
        return all([self.fleet.wait_until_ready(ip)
                    for ip in self.fleet.ips])

    def run(self, seconds):
        """Do one thing after the other for some seconds.

        All kinds of things come before one of them comes again.
        """
        until = time.monotonic() + seconds
        waiting = []
        while waiting or time.monotonic() < until:
            waiting = waiting or self.rng.sample(self.mix, len(self.mix))
            waiting.pop()(self)
            time.sleep(self.rng.uniform(*GAP_S))

    def _any_host(self):
        """Return a host that isn't being stopped; one always stays."""
        free = [ip for ip in self.fleet.ips if ip not in self.fleet.stopping]
        return self.rng.choice(free) if len(free) > 1 else None

    def configure(self):
        """Write the next configuration."""
        self._write(self._next_config())

    def reroute(self):
        """Write the next configuration, with routes, keys, services gone."""
        self._write(reroute(self._next_config(), self.rng))

    def _next_config(self):
        self.version += 1
        return new_config(self.version, self.rng, self.slots["engines"])

    def _write(self, config):
        self.fleet.note("configured", version=config["Version"])
        self.fleet.tell_backends("configure", config)

    def shorten(self):
        """Have a host get half of its processor time for a while."""
        ip = self._any_host()
        if ip is not None:
            self.fleet.shorten(ip, self.rng.uniform(*SHORT_S), TURN_S)

    def hang_up(self):
        """Change the settings file of a host, which may be stopping."""
        self.fleet.hang_up(self.rng.choice(self.fleet.ips))

    def stop(self):
        """Stop a host as planned."""
        ip = self._any_host()
        if ip is not None:
            self.fleet.stop(ip)

    def stop_series(self):
        """Stop all hosts or some, one after the other or at once."""
        count = self.rng.randint(2, len(self.fleet.ips))
        apart_s = self.rng.choice(SERIES_S)
        for ip in self.rng.sample(self.fleet.ips, count):
            self.fleet.stop(ip)
            time.sleep(apart_s)

    def replace(self, how="replace", newer=0.5, service=None):
        """Replace a server by one of a newer version, half of the time."""
        if service is None:
            service = self.rng.choice([
                each for each in self.slots if each not in loads.LONE])
        self.software[service] += self.rng.random() < newer
        self.changed_at[service] = time.monotonic()
        self.fleet.note({"replace": "replaced"}.get(how, how),
                        service=service, version=self.software[service])
        self.fleet.tell_backends(how, service,
                                 f"v{self.software[service]}",
                                 self.slots[service])

    def join(self):
        """Have a server of a newer version join."""
        self.replace("add", 0.8)

    def release(self):
        """Replace all servers of a service by those of a newer version."""
        self.replace("release", 1.0)

    def crash(self):
        """Crash a server, between two events or within one."""
        service = self.rng.choice(list(self.slots))
        self.fleet.note("server crash", service=service)
        self.fleet.tell_backends("crash", service, self.slots[service],
                                 self.rng.random() < 0.5)

    def silence(self):
        """Have a server send nothing for a while; it goes on afterwards."""
        service = self.rng.choice(list(self.slots))
        span_s = self.rng.uniform(*PAUSE_S)
        self.fleet.note("server silent", service=service, for_s=span_s)
        self.fleet.tell_backends("silence", service, span_s)

    def pause(self):
        """Have a host stand still."""
        ip = self._any_host()
        if ip is not None:
            self.fleet.pause(ip, self.rng.uniform(*PAUSE_S))

    def cut(self):
        """Cut some hosts off from others, from the store or from both.

        Servers change their version meanwhile, and callers come first of all
        to hosts that are back.
        """
        ips = self.fleet.ips
        side = self.rng.sample(ips, self.rng.randint(1, max(
            1, len(ips) // 2)))
        others = [ip for ip in ips if ip not in side]
        what = self.rng.choice(("peers", "store", "both", "one way", "alone"))
        far = {"store": [], "alone": ips}.get(what, others)
        if what in ("store", "both", "alone"):
            far = [*far, self.fleet.store_ip]
        unheard = {ip: [each for each in far if each != ip] for ip in side}
        unreached = {}
        if what != "one way":
            unreached = dict(unheard)
            if what != "store":
                unheard |= dict.fromkeys(others, side)
                unreached |= dict.fromkeys(others, side)
        self.fleet.cut(what, unheard, unreached)
        span_s = self.rng.uniform(*CUT_S)
        time.sleep(span_s / 2)
        self.replace()
        if self.rng.random() < 0.3:
            self.crash()
        time.sleep(span_s / 2)
        self.fleet.heal()

    def cut_any(self):
        """Cut some hosts off in any way, for any time, and lure callers."""
        ips = [*self.fleet.ips, self.fleet.store_ip]
        side = self.rng.sample(self.fleet.ips, self.rng.randint(1, max(
            1, len(self.fleet.ips) // 2)))
        way = self.rng.choice(WAYS)
        far = [ip for ip in ips if ip not in side]
        if way == "alone":
            far = ips
        elif way == "peers":
            far = far[:-1]
        elif way.startswith("store"):
            far = ips[-1:]
        unheard = {ip: [each for each in far if each != ip] for ip in side}
        unreached = dict(unheard)
        if way.endswith("unheard"):
            unreached = {}
        elif way.endswith("unreached"):
            unheard = {}
        span_s = self.rng.uniform(*self.rng.choice(CUTS_S))
        lures = self.rng.choice(("during", "after", "both"))
        self.fleet.cut(way, unheard, unreached)
        began_at = time.monotonic()
        self._change_alone()
        if lures != "after":
            time.sleep(min(span_s, self.rng.uniform(0.2, 1.2)))
            self.fleet.favour(side)
        time.sleep(max(0.0, began_at + span_s - time.monotonic()))
        self.fleet.heal()
        if lures != "during":
            self.fleet.favour(side)

    def cut_most(self):
        """Cut most hosts off together, from the store and from the others."""
        side = self.rng.sample(self.fleet.ips, len(self.fleet.ips) // 2 + 1)
        self._cut_and_hurry(side, side, (8, 30))

    def cut_and_hurry(self):
        """Cut hosts off from all as a version follows; callers hurry there."""
        side = self.rng.sample(self.fleet.ips, self.rng.randint(1, max(
            1, len(self.fleet.ips) // 2)))
        self._cut_and_hurry(side, (), (4, 10))

    def _cut_and_hurry(self, side, heard, times):
        changed_at = min(map(self.changed_at.get, loads.LONE))
        time.sleep(max(0.0, changed_at + ALONE_S - time.monotonic()))
        far = [*self.fleet.ips, self.fleet.store_ip]
        lost = {ip: [each for each in far if each not in (ip, *heard)]
                for ip in side}
        self.fleet.cut("hurry", lost, lost)
        self._change_alone()
        for _ in range(self.rng.randint(*times)):
            time.sleep(0.04)
            self.fleet.favour(side)
        self.fleet.heal()

    def _change_alone(self):
        """Have a newer version follow in a service that had one for long."""
        service = min(loads.LONE, key=self.changed_at.get)
        self.fleet.busiest = service
        self.replace(self.rng.choice(("add", "release", "release")), 1.0,
                     service)
        self._disturb_more()

    def _disturb_more(self):
        """Crash a server, forget the history or stop a host, at times."""
        if self.rng.random() < 0.4:
            self.rng.choice((self.crash, self.forget, self.stop))()

    def stop_and_lure(self):
        """Stop a host while its streams are taken up elsewhere."""
        ip = self._any_host()
        if ip is not None:
            if self.rng.random() < 0.5:
                self.join()
            self.fleet.stop(ip)
            time.sleep(self.rng.uniform(0.0, 3.0))
            self.fleet.favour([each for each in self.fleet.ips if each != ip])

    def kill_all(self):
        """Kill all hosts as versions change; callers come as they start."""
        free = [ip for ip in self.fleet.ips if ip not in self.fleet.stopping]
        for ip in free:
            self.fleet.kill(ip)
        time.sleep(self.rng.uniform(0.0, 0.5))
        self._change_alone()
        if free:
            self.fleet.wait_until_ready(free[0])
        self.fleet.favour(free)

    def pause_and_lure(self):
        """Have a host stand still, while versions change."""
        ip = self._any_host()
        if ip is not None:
            self._change_alone()
            self.fleet.pause(ip, self.rng.uniform(*PAUSE_S))
            self.fleet.favour([ip])

    def forget(self):
        """Have the store forget its history."""
        self.fleet.note("forgot")
        self.fleet.tell_backends("forget")

    def store_outage(self):
        """Have the store be away or silent for a while, or forget."""
        fault = self.rng.choice(("down", "silent", "forget"))
        if fault == "forget":
            self.forget()
            return
        self.fleet.note("store", begins=True, fault=fault)
        self.fleet.tell_backends("store", fault, True)
        time.sleep(self.rng.uniform(*OUTAGE_S))
        self.fleet.tell_backends("store", fault, False)
        self.fleet.note("store", begins=False, fault=fault)


_PLANNED = (Schedule.configure, Schedule.hang_up, Schedule.stop,
            Schedule.stop_series, Schedule.replace)
_UNPLANNED = (Schedule.pause, Schedule.cut, Schedule.cut, Schedule.crash,
              Schedule.store_outage, Schedule.replace, Schedule.replace)
# What may be done in a run; only in planned work is all that is lost LOST.
MIXES = {
    "stops": (Schedule.stop, Schedule.stop_series),
    "changes": (Schedule.configure, Schedule.hang_up, Schedule.replace),
    "planned": _PLANNED,
    "routes": (Schedule.reroute, Schedule.reroute, Schedule.configure,
               Schedule.hang_up, Schedule.shorten, Schedule.shorten,
               Schedule.silence, Schedule.silence,
               Schedule.stop, Schedule.stop_series, Schedule.replace),
    "cuts": (Schedule.cut, Schedule.cut, Schedule.replace,
             Schedule.store_outage),
    "hurry": (Schedule.cut_and_hurry,),
    "majority": (Schedule.cut_most,),
    "order": (Schedule.cut_any, Schedule.cut_any, Schedule.cut_any,
              Schedule.stop_and_lure, Schedule.pause_and_lure,
              Schedule.store_outage, Schedule.release, Schedule.crash),
    "deaths": (Schedule.kill_all, Schedule.cut_any, Schedule.join,
               Schedule.release, Schedule.crash),
    "all": _PLANNED + _UNPLANNED,
}
