"""A fault-injecting TCP relay: one listening port for each ordered pair of instances.

Modes: "pass"; "silent" (data is withheld, connections stay open);
"reset" (connections are reset at once). `back` and `forth` may differ, so that
a link can be cut in one direction. `delay` is in seconds.
"""
import asyncio
import threading


class Link:
    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.forth = "pass"
        self.back = "pass"
        self.delay = 0.0
        self.writers = set()


class Relay:
    """Runs all links on a dedicated thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def add(self, name, listen, target):
        link = Link(listen, target)
        self.links[name] = link
        asyncio.run_coroutine_threadsafe(self._listen(link), self.loop).result()

    def set(self, names, mode, one_way=False):
        for name in names:
            link = self.links[name]
            link.forth = mode
            link.back = "pass" if one_way else mode
            if mode == "reset":
                self.loop.call_soon_threadsafe(self._reset, link)

    def connect(self, deployment):
        """Adds a link for each ordered pair of instances."""
        numbers = list(deployment.instances)
        for source in numbers:
            for target in numbers:
                if source == target:
                    continue
                listen = "%s.250:%d" % (deployment.network,
                                        10000 + source * 100 + target)
                self.add((source, target), listen,
                         deployment.instances[target].control_address)
                deployment.instances[source].peer_address[target] = listen

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    @staticmethod
    def _reset(link):
        for writer in list(link.writers):
            writer.transport.abort()

    async def _listen(self, link):
        host, port = link.listen.split(":")
        await asyncio.start_server(
            lambda reader, writer: self._serve(link, reader, writer), host,
            int(port))

    async def _serve(self, link, reader, writer):
        if "reset" in (link.forth, link.back):
            writer.transport.abort()
            return
        while "silent" in (link.forth, link.back):
            await asyncio.sleep(0.05)
        try:
            host, port = link.target.split(":")
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, other_writer}
        await asyncio.gather(
            self._copy(link, "forth", reader, other_writer),
            self._copy(link, "back", other_reader, writer))
        link.writers -= {writer, other_writer}

    @staticmethod
    async def _copy(link, way, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if link.delay:
                    await asyncio.sleep(link.delay)
                while getattr(link, way) == "silent":
                    await asyncio.sleep(0.02)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


def links_between(left, right):
    return [(a, b) for a in left for b in right] + \
        [(b, a) for a in left for b in right]
