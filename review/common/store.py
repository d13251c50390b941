"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Linearizable, loses nothing, answers after some ms. It lists the objects of a
kind in the order of their names, in pages, each with the store's revision at
the time of the page.
"""

import asyncio
import json
import urllib.parse

from review.common import http

PREFIX = "/crocuskeel/objects/"
JSON = ("Content-Type", "application/json")
ANSWER_S = 0.004
# "Items (about 500 or 1 MB at most)".
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Objects by kind and name; ``on_page(kind, after, more)`` is a hook.

    It is called when the content of a page of a list has been determined.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.on_page = None
        self.server = None

    async def start(self, ip):
        """Listen on a free port; return IP:PORT."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        return f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, spec):
        """Write an object without a condition, as the operator does."""
        self.revision += 1
        former = self.objects.get((kind, name))
        created = (former["Meta"]["CreatedRev"] if former
                   else self.revision)
        obj = {"Meta": {"Name": name, "Rev": self.revision,
                        "CreatedRev": created, "Finalizers": [],
                        "Deleting": False}, "Spec": spec, "Status": None}
        self.objects[kind, name] = obj
        self._changed(kind, obj, False)
        return obj

    def remove(self, kind, name):
        """Remove an object."""
        obj = self.objects.pop((kind, name))
        self.revision += 1
        self._changed(kind, obj, True)

    def _changed(self, kind, obj, removed):
        self.history.append((self.revision, kind, obj, removed))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    break
                status, doc = await self._answer(request)
                body = b"" if doc is None else json.dumps(doc).encode()
                await asyncio.sleep(ANSWER_S)
                writer.write(http.answer(status, [JSON], body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        path = url.path.removeprefix(PREFIX)
        kind, _, name = path.partition("/")
        name = urllib.parse.unquote(name)
        if request.method == "GET":
            query = dict(urllib.parse.parse_qsl(url.query))
            return await self._read(kind, name, query)
        return self._write(request.method, kind, name,
                           json.loads(request.body))

    async def _read(self, kind, name, query):
        if name:
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, None)
        if "Watch" in query:
            return await self._watch(kind, int(query["Watch"]),
                                     int(query.get("WaitMs", 0)) / 1000)
        return 200, self._page(kind, query.get("AfterRev", ""))

    def _page(self, kind, after):
        names = sorted(name for object_kind, name in self.objects
                       if object_kind == kind and name > after)
        items, size = [], 0
        for name in names[:PAGE_ITEMS]:
            obj = self.objects[kind, name]
            size += len(json.dumps(obj))
            if items and size > PAGE_BYTES:
                break
            items.append(obj)
        more = len(items) < len(names)
        page = {"Items": items, "More": more, "AsOf": self.revision}
        if self.on_page is not None:
            self.on_page(kind, after, more)
        return page

    async def _watch(self, kind, since, wait_s):
        loop = asyncio.get_running_loop()
        ends = loop.time() + min(wait_s, 30.0)
        while True:
            rows = [{"Object": obj, "Removed": removed}
                    for revision, object_kind, obj, removed in self.history
                    if revision > since and object_kind == kind]
            left = ends - loop.time()
            if rows or left <= 0:
                return 200, {"events": rows, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, body):
        name = name or body["Meta"]["Name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, body["Spec"])
        if method != "PUT":
            return 405, None
        if known is None:
            return 404, None
        expected = body["Meta"].get("Rev")
        if expected and expected != known["Meta"]["Rev"]:
            return 409, known
        if known["Spec"] == body["Spec"]:
            return 200, known
        return 200, self.put(kind, name, body["Spec"])
