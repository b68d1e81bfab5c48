"""Clients that ignore limits: each class of them is a coroutine on one connection.

Each keeps its connection until it is cancelled or the server closes it, so that
everything that the server holds for a client is held for all of them together.
"""

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


@dataclass
class Load:
    """A number of clients of one class.

    Attributes:
        client: Coroutine function that runs one of them on a connection.
        clients: Number of them.
        max_descriptors: Descriptors that the process of the server may have.
    """

    client: object
    clients: int = 200
    max_descriptors: int = 1000


async def _run_client(address, client):
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
    tasks = [
        await curio.spawn(_run_client, address, load.client)
        for _ in range(load.clients)
    ]
    try:
        async with curio.ignore_after(seconds):
            for task in tasks:
                await task.wait()
        return await body()
    finally:
        for task in tasks:
            await task.cancel()
