"""Clients that ignore limits: each class of them is a coroutine on one connection.

Each keeps its connection until it is cancelled or the server closes it, so that
everything that the server holds for a client is held for all of them together.
"""

import struct
from dataclasses import dataclass

import curio

QUEUE_HOST = "q.example"
PATH = "/jobs/00000000000000ab"
# Bytes that a client sends at once.
PIECE_BYTES = 65536
# A body just under the limit of 1,048,576 bytes, of which the last bytes never come.
SLOW_BODY_BYTES = 1_000_000
# Announced size and sent bytes of a body far over the limit.
ANNOUNCED_BYTES = 900_000_000
OVERSIZED_BYTES = 2_000_000
# Two bytes are the smallest chunks for which an object each is held: CPython shares
# those of one byte.
CHUNKS = 50_000
ONE_BYTE_CHUNKS = 20_000
SMALL_FIELDS = 3000
LARGE_HEAD_BYTES = 1_000_000
# Steps of a job of two bytes each, just under the limit of 1,048,576 bytes.
EMPTY_STEPS = 340_000
NESTING_DEPTH = 500_000
# Requests that a client sends without waiting for their responses.
PIPELINED_REQUESTS = 10_000
PIPELINED_HEADS = 50
# Bytes of one chunk extension, just under the limit of an incomplete chunk header.
EXTENSION_BYTES = 60_000
EXTENDED_CHUNKS = 1000
# First bytes of a connection of ZMTP 3.0 (https://rfc.zeromq.org/spec/23/): signature,
# version, security mechanism and the role of a client.
ZMTP_GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
ZMTP_READY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x04PUSH"
# Flags of a ZMTP frame.
ZMTP_MORE, ZMTP_LARGE, ZMTP_COMMAND = 1, 2, 4
# Frames and messages of a peer, below the smallest limit of a message of 1 MiB.
PEER_FRAME_BYTES = 65536
PEER_FRAMES = 4000
PEER_MESSAGE_BYTES = 1_000_000
JUNK_MESSAGES = 10_000


def request_head(method, path, *fields):
    """Returns the head of a request to the queue."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {QUEUE_HOST}", *fields, "", ""]
    return "\r\n".join(lines).encode()


async def send(sock, data):
    """Sends data in pieces and lets other tasks run in between."""
    view = memoryview(data)
    for start in range(0, len(view), PIECE_BYTES):
        await sock.sendall(view[start : start + PIECE_BYTES])
        await curio.sleep(0)


async def announce_oversized_body(sock):
    """Announces a body far over the limit and sends a part of it."""
    await send(sock, request_head("POST", PATH, f"Content-Length: {ANNOUNCED_BYTES}"))
    await send(sock, b"x" * OVERSIZED_BYTES)


async def send_body_without_end(sock):
    """Sends chunks of a body that never ends."""
    await send(sock, request_head("POST", PATH, "Transfer-Encoding: chunked"))
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    while True:
        await send(sock, chunk)


async def send_slow_body(sock):
    """Sends a body just under the limit, but for its last bytes."""
    await send(sock, request_head("POST", PATH, f"Content-Length: {SLOW_BODY_BYTES}"))
    await send(sock, b"x" * (SLOW_BODY_BYTES - 10))


async def send_small_chunks(sock):
    """Sends a body inside the limit in chunks of two bytes, but for its end."""
    await send(sock, request_head("POST", PATH, "Transfer-Encoding: chunked"))
    await send(sock, b"2\r\nxx\r\n" * CHUNKS)


async def send_one_byte_chunks(sock):
    """Sends a body inside the limit in chunks of one byte, but for its end."""
    await send(sock, request_head("POST", PATH, "Transfer-Encoding: chunked"))
    await send(sock, b"1\r\nx\r\n" * ONE_BYTE_CHUNKS)


async def send_large_head(sock):
    """Sends a head far over the limit, without its end."""
    await send(sock, request_head("GET", PATH)[:-2])
    await send(sock, b"Field: " + b"x" * LARGE_HEAD_BYTES)


async def send_many_fields(sock):
    """Sends a head inside the limit with many small fields, and no body."""
    fields = ["a:"] * SMALL_FIELDS
    await send(sock, request_head("POST", PATH, "Content-Length: 10", *fields))


async def send_body(sock, body):
    """Sends a complete request."""
    await send(sock, request_head("POST", PATH, f"Content-Length: {len(body)}"))
    await send(sock, body)


async def send_empty_steps(sock):
    """Sends a job of very many steps, each of which is small."""
    steps = b"{}," * EMPTY_STEPS
    await send_body(sock, b'{"steps":[' + steps[:-1] + b"]}")


async def send_nested_lists(sock):
    """Sends a job with a deeply nested field."""
    nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
    await send_body(sock, b'{"other":' + nested + b',"steps":[{}]}')


async def send_large_count(sock):
    """Sends a job of a billion tasks."""
    await send_body(sock, b'{"steps":[{"count":1000000000}],"times":1000000000}')


async def stay_idle(sock):
    """Sends nothing."""


async def pipeline_small_requests(sock):
    """Sends very many small requests and reads the responses."""
    await _send_and_read(sock, request_head("GET", "/") * PIPELINED_REQUESTS)


async def pipeline_heads_of_many_fields(sock):
    """Sends heads inside the limit with many small fields, and reads the responses."""
    head = request_head("GET", "/", *["a:"] * SMALL_FIELDS)
    await _send_and_read(sock, head * PIPELINED_HEADS)


async def send_chunk_extensions(sock):
    """Sends chunks of one byte, each with a long extension."""
    await send(sock, request_head("POST", PATH, "Transfer-Encoding: chunked"))
    chunk = b"1;" + b"x" * EXTENSION_BYTES + b"\r\nx\r\n"
    for _ in range(EXTENDED_CHUNKS):
        await send(sock, chunk)


async def open_peer_connection(sock):
    """Begins a connection between entry VMs and sends no message."""
    await sock.sendall(ZMTP_GREETING + zmtp_frame(ZMTP_COMMAND, ZMTP_READY))
    # A message that arrives before the answer is a protocol error.
    answer = b""
    while b"READY" not in answer:
        data = await sock.recv(PIECE_BYTES)
        if not data:
            raise ConnectionResetError
        answer += data


async def send_part_of_peer_message(sock):
    """Sends a message of an entry VM, but for its last byte."""
    await open_peer_connection(sock)
    await send(sock, zmtp_frame(0, bytes(PEER_MESSAGE_BYTES))[:-1])


async def send_peer_message_without_end(sock):
    """Sends a message of many frames that never ends."""
    await open_peer_connection(sock)
    frame = zmtp_frame(ZMTP_MORE, bytes(PEER_FRAME_BYTES))
    for _ in range(PEER_FRAMES):
        await send(sock, frame)


async def send_junk_peer_messages(sock):
    """Sends messages that can't be decoded, without end."""
    await open_peer_connection(sock)
    junk = zmtp_frame(0, b"x") * JUNK_MESSAGES
    while True:
        await send(sock, junk)


async def send_pings_among_peer_messages(sock):
    """Sends messages that can't be decoded and pings, without end."""
    await open_peer_connection(sock)
    ping = zmtp_frame(ZMTP_COMMAND, b"\x04PING\x00\x00")
    junk = (zmtp_frame(0, b"x") * 50 + ping) * 200
    while True:
        await send(sock, junk)


def zmtp_frame(flags, body):
    """Returns a frame of ZMTP."""
    if len(body) < 256:
        return bytes([flags, len(body)]) + body
    return struct.pack(">BQ", flags | ZMTP_LARGE, len(body)) + body


async def _send_and_read(sock, data):
    async with curio.TaskGroup() as group:
        await group.spawn(send, sock, data)
        while await sock.recv(PIECE_BYTES):
            pass


@dataclass
class Load:
    """A number of clients of one class.

    Attributes:
        client: Coroutine function that runs one of them on a connection.
        clients: Number of them.
        max_descriptors: Descriptors that the process of the server may have.
        stay_s: Seconds after which a client closes its connection and opens another
            one; 0 if it stays.
    """

    client: object
    clients: int = 200
    max_descriptors: int = 1000
    stay_s: float = 0.0


async def _run_client(address, load):
    if not load.stay_s:
        await _run_connection(address, load.client)
        return
    while True:
        async with curio.ignore_after(load.stay_s):
            await _run_connection(address, load.client)
            # The server has closed the connection early.
            await curio.sleep(load.stay_s)


async def _run_connection(address, client):
    host, port = address.split(":")
    try:
        sock = await curio.open_connection(host, int(port))
        async with sock:
            await client(sock)
            while await sock.recv(PIECE_BYTES):
                pass
    except OSError:
        pass


async def run_load(address, load, seconds, body):
    """Runs the clients for some seconds, then calls a function while they are there.

    Args:
        address: Address of the server.
        load: Clients to run.
        seconds: Longest time before the call; it begins early if all have ended.
        body: Coroutine function to call before the clients are cancelled.

    Returns:
        The result of the function.
    """
    tasks = [await curio.spawn(_run_client, address, load) for _ in range(load.clients)]
    try:
        async with curio.ignore_after(seconds):
            for task in tasks:
                await task.wait()
        return await body()
    finally:
        for task in tasks:
            await task.cancel()
