"""Cuts single VMs off from targets: the targets' sockets drop or reset what comes from a VM's address.

The VMs' processes open their connections from their own addresses (VmAddressProvider). A socket
filter drops the packets of a VM, as any user may ask the kernel for on his own sockets.
"""

import asyncio
import ctypes
import os
import socket
import struct
import subprocess

import deployment as d

HERE = os.path.dirname(os.path.abspath(__file__))
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
SOURCE_ADDRESS = 0xFFF00000 + 12  # in the IP header

# What becomes of new connections, and of those that are open.
MODES = [("hang", "hang"), ("hang", "reset"), ("hang", "live"), ("refuse", "reset"),
         ("refuse", "live")]


def use_addresses(site):
    """Lets all entry VMs that a site starts from now on open connections from their addresses."""
    site.roles["entry"]["env"]["JAVA_TOOL_OPTIONS"] = java_options(site.folder)


def java_options(folder):
    """Compiles the provider into a folder, and returns the options that make a process use it."""
    subprocess.run(["javac", "-nowarn", "--add-exports", "java.base/sun.nio.ch=ALL-UNNAMED", "-d",
                    folder, os.path.join(HERE, "VmAddressProvider.java")], check=True,
                   stderr=subprocess.DEVNULL)
    return (f"-Xbootclasspath/a:{folder} --add-exports=java.base/sun.nio.ch=ALL-UNNAMED"
            " -Djava.nio.channels.spi.SelectorProvider=VmAddressProvider")


def drop(sock, sources):
    """Lets a socket drop all packets of some addresses; none ends that."""
    if not sources:
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except OSError:
            pass
        return
    addresses = [struct.unpack(">I", socket.inet_aton(source))[0] for source in sources]
    program = [(0x20, 0, 0, SOURCE_ADDRESS)]
    for index, address in enumerate(addresses):
        program.append((0x15, len(addresses) - index, 0, address))
    program += [(0x06, 0, 0, 0xFFFFFFFF), (0x06, 0, 0, 0)]
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                    struct.pack("HL", len(program), ctypes.addressof(code)))


class Link:
    """The writer of a connection; while the connection hangs, what is written waits."""

    def __init__(self, writer):
        self.writer = writer
        self.vm = writer.get_extra_info("peername")[0]
        self.waiting = None

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        if self.waiting is None:
            self.writer.write(data)
        else:
            self.waiting.append(data)

    def hang(self):
        if not self.writer.transport.is_closing():
            self.waiting = []
            drop(self.writer.get_extra_info("socket"), [self.vm])

    def go_on(self):
        if self.waiting is None:
            return
        waiting, self.waiting = self.waiting, None
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.writer.transport.is_closing():
            drop(sock, [])
            for data in waiting:
                self.writer.write(data)


class Cuttable:
    """A target whose links to single VMs can be cut."""

    links = ()

    async def start(self):
        self.links = set()
        await super().start()

    async def serve(self, reader, writer):
        link = Link(writer)
        if self.play.cuts.refuses(link.vm):
            d.reset(writer)
            return
        self.links.add(link)
        try:
            await super().serve(reader, link)
        finally:
            self.links.discard(link)

    def note(self, head, *more):
        run = super().note(head, *more)
        run["vm"] = head.vm
        return run

    async def handle(self, head, body, writer):
        head.vm = writer.vm
        await super().handle(head, body, writer)

    def apply_cut(self, sources, added, new, kept):
        for listening in self.listener.sockets:
            drop(listening, sources if new == "hang" else [])
        for link in list(self.links):
            if link.vm in added and kept == "hang":
                link.hang()
            elif link.vm in added and kept == "reset":
                d.reset(link)

    def end_cut(self):
        for listening in self.listener.sockets:
            drop(listening, [])
        for link in list(self.links):
            link.go_on()


class Cuts:
    """Cuts some VMs off from all targets, one cut after the other; never all VMs."""

    def __init__(self, play):
        self.play = play
        self.sources = []
        self.refusing = False
        self.spans = []  # [address, start, end]
        self.modes = []

    def refuses(self, vm):
        return self.refusing and vm in self.sources

    def touches(self, address, since, until):
        """Whether a VM was cut off at some moment of a time, or up to 3 s before."""
        return any(vm == address and start <= until and since <= end + 3
                   for vm, start, end in self.spans)

    async def run(self, until):
        loop, random = asyncio.get_running_loop(), self.play.random
        await asyncio.sleep(3)
        while loop.time() + 6 < until:
            count = self.play.options.cut_vms or random.randint(
                1, len(self.play.site.entries) - 1)
            nodes = random.sample(self.play.site.entries, count)
            new, kept = random.choice(
                [mode for mode in MODES
                 if self.play.options.modes == "all"
                 or "-".join(mode) in self.play.options.modes.split(",")])
            self.begin([node["ip"] for node in nodes], new, kept)
            spans = [[vm, loop.time(), float("inf")] for vm in self.sources]
            self.spans += spans
            self.play.record.write("cut", vms=[node["name"] for node in nodes], new=new, kept=kept)
            self.modes.append(f"{len(nodes)} {new}-{kept}")
            if self.play.options.widen:
                await asyncio.sleep(1.5)
                await self.widen(new, kept, spans)
            await asyncio.sleep(random.uniform(4, 7))
            self.end()
            self.play.record.write("cut ends")
            for span in spans:
                span[2] = loop.time()
            await asyncio.sleep(random.uniform(2, 5))

    def begin(self, sources, new, kept):
        added = [vm for vm in sources if vm not in self.sources]
        self.sources, self.refusing = sources, new == "refuse"
        for target in self.play.engines + self.play.shops:
            target.apply_cut(sources, added, new, kept)

    async def widen(self, new, kept, spans):
        """Cuts off one more VM, which serves for the first ones, if another one is left."""
        free = [node["ip"] for node in self.play.site.entries if node["ip"] not in self.sources]
        if len(free) > 1:
            more = [[self.play.random.choice(free), asyncio.get_running_loop().time(),
                     float("inf")]]
            spans += more
            self.spans += more
            self.begin(self.sources + [more[0][0]], new, kept)
            self.play.record.write("cut widened", vm=more[0][0])

    def end(self):
        self.sources, self.refusing = [], False
        for target in self.play.engines + self.play.shops:
            target.end_cut()
