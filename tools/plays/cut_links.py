"""Links between entry VMs and targets that can be cut, without rights on the machine.

A preloaded library (cut_links.c) sends each VM's connects to the targets' port to a port of its own at
the same address. There a forwarder of this program passes the bytes on, or does not.
"""

import asyncio
import os
import socket
import subprocess

import deployment as d

FIRST_PORT = 23000
MODES = ["refused", "refused-live", "hang", "hang-live", "reset-hang"]


def build_library(folder):
    library = os.path.join(folder, "cut_links.so")
    source = os.path.join(os.path.dirname(os.path.abspath(__file__)), "cut_links.c")
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", library, source, "-ldl"], check=True)
    return library


class Site(d.Deployment):
    """A deployment whose entry VMs reach targets through links of their own."""

    def __init__(self, record, entries):
        super().__init__(record, entries=entries)
        self.library = build_library(self.folder)

    def start(self, node, bootstrap, core=None):
        env = self.roles[node["role"]]["env"]
        if node["role"] == "entry":
            number = self.entries.index(node)
            env |= {"LD_PRELOAD": self.library, "CUT_FROM": str(self.server_port),
                    "CUT_TO": str(FIRST_PORT + number)}
        return super().start(node, bootstrap, core)


class Link:
    """The way from one entry VM to one target."""

    def __init__(self, target, number):
        self.target = target
        self.port = FIRST_PORT + number
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.writers = set()
        self.fillers = []
        self.listener = None
        self.task = None

    def listen(self):
        if self.listener is None:
            self.listener = socket.socket()
            self.listener.setblocking(False)
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind((self.target.ip, self.port))
        self.listener.listen(128)
        if self.task is not None:
            return
        self.task = asyncio.create_task(self.accept())

    async def stop_accepting(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            self.task = None

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            asyncio.create_task(self.forward(sock))

    async def forward(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target.ip, d.Deployment.target_port)
        except OSError:
            self.writers.discard(writer)
            d.reset(writer)
            return
        self.writers.add(far_writer)
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.flowing.wait()
                writer.write(data)
                await writer.drain()
            await self.flowing.wait()
            writer.close()
        except OSError:
            await self.flowing.wait()
            d.reset(writer)

    async def cut(self, mode):
        await self.stop_accepting()
        if mode.startswith("refused"):
            self.listener.close()
            self.listener = None
        else:
            # Connects hang while the queue of the listener is full.
            self.listener.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.target.ip, self.port))
                self.fillers.append(filler)
        if mode == "hang":
            self.flowing.clear()
        elif not mode.endswith("live"):
            for writer in list(self.writers):
                d.reset(writer)

    def mend(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listen()
        self.flowing.set()

    async def end(self):
        await self.stop_accepting()
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            d.reset(writer)


class Links:
    """All links of a deployment, by VM."""

    def __init__(self, targets, entries):
        d.Deployment.target_port = targets[0].site.server_port
        self.by_vm = [[Link(target, number) for target in targets] for number in range(entries)]
        self.cut_off = set()

    def begin(self):
        for links in self.by_vm:
            for link in links:
                link.listen()

    async def cut(self, number, mode):
        self.cut_off.add(number)
        for link in self.by_vm[number]:
            await link.cut(mode)

    def mend(self, number):
        self.cut_off.discard(number)
        for link in self.by_vm[number]:
            link.mend()

    async def end(self):
        for links in self.by_vm:
            for link in links:
                await link.end()
