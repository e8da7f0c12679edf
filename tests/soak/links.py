"""A loopback proxy whose connections can be delayed, held, reset and refused."""
import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DIRECTIONS = ("up", "down")


def reset(writer):
    """Closes a connection with RST, as a host does that knows nothing of it."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() != -1:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Link:
    """Forwards the connections of one port to another port.

    A cut of limited length holds bytes and delivers them afterwards, as TCP does.
    """

    def __init__(self, port, target_port):
        self.port = port
        self.target_port = target_port
        self.delay_s = 0
        self.server = None
        self.pairs = set()
        self.open_gates = {}

    async def open(self):
        if not self.open_gates:
            self.open_gates = {direction: asyncio.Event() for direction in DIRECTIONS}
            self.release()
        if self.server is None:
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def refuse(self):
        """Stops listening; open connections stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def hold(self, directions):
        for direction in directions:
            self.open_gates[direction].clear()

    def release(self):
        for gate in self.open_gates.values():
            gate.set()

    def reset_connections(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            reset(writer)
            return
        pair = (writer, target_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump(reader, target_writer, "up"),
                                 self.pump(target_reader, writer, "down"))
            for each in pair:
                each.close()
        except (ConnectionError, RuntimeError, OSError):
            for each in pair:
                reset(each)
        finally:
            self.pairs.discard(pair)

    async def pump(self, reader, writer, direction):
        while True:
            data = await reader.read(1 << 16)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.open_gates[direction].wait()
            if not data:
                if not writer.is_closing():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
