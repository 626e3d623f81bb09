"""Tests of the pool of connections to one address."""

import asyncio

import h11
import pytest

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors
from _dogwoodhinge.http1 import pool as pool_lib


@pytest.mark.parametrize(
    ("host", "port"),
    [
        pytest.param("10.0.0.1\0", 80, id="null_byte"),
        pytest.param("127.0.0.1", 65536, id="port_above_16_bits"),
        pytest.param("127.0.0.1", 10**30, id="port_above_64_bits"),
        pytest.param("é" * 100, 80, id="no_host_name"),
    ],
)
async def test_impossible_address_counts_as_unreachable(
    host: str, port: int
) -> None:
    """Regression: a caller got a 502 although another engine was good."""
    pool = pool_lib.ConnectionPool(host=host, port=port, limit=1)
    with pytest.raises(errors.ConnectError):
        await pool.acquire()


class FullTransport(asyncio.Transport):
    """A transport whose peer does not read."""

    def __init__(self, unsent: int) -> None:
        super().__init__()
        self.unsent = unsent
        self.closed = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:
        del data

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


@pytest.mark.parametrize("unsent", [0, 1])
async def test_connection_with_an_unsent_body_is_not_used_again(
    unsent: int,
) -> None:
    """An engine may answer before it has read a body, and read on later."""
    pool = pool_lib.ConnectionPool(host="127.0.0.1", port=1, limit=1)
    connection = connection_lib.Connection(
        role=h11.CLIENT, max_head_bytes=1_000
    )
    transport = FullTransport(unsent)
    connection.connection_made(transport)
    connection.send(
        h11.Request(
            method="POST",
            target="/",
            headers=[("Host", "x"), ("Content-Length", "4")],
        ),
        h11.Data(data=b"body"),
        h11.EndOfMessage(),
    )
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    while not isinstance(await connection.next_event(), h11.EndOfMessage):
        pass
    pool.in_use.add(connection)
    pool.release(connection)
    assert len(pool.idle) == (0 if unsent else 1)
    assert transport.closed == bool(unsent)


async def answered_connection(
    pool: pool_lib.ConnectionPool, *, rejected: str = ""
) -> connection_lib.Connection:
    """Adds a connection to the pool that has carried one request."""
    connection = connection_lib.Connection(
        role=h11.CLIENT, max_head_bytes=1_000
    )
    connection.connection_made(FullTransport(0))
    if rejected:
        connection.rejected_ids.add(rejected)
    connection.send(
        h11.Request(method="GET", target="/", headers=[("Host", "x")]),
        h11.EndOfMessage(),
    )
    connection.data_received(b"HTTP/1.1 204 No Content\r\n\r\n")
    for _ in range(2):
        await connection.next_event()
    pool.in_use.add(connection)
    pool.release(connection)
    return connection


async def test_rejected_request_gets_another_connection() -> None:
    """A late copy of the rejection would pass as its second response."""
    pool = pool_lib.ConnectionPool(host="127.0.0.1", port=1, limit=3)
    other = await answered_connection(pool)
    refused = await answered_connection(pool, rejected="r1")
    assert await pool.acquire(request_id="r1") is other
    assert await pool.acquire(request_id="r2") is refused


async def test_skipped_connections_keep_their_order_and_stay_pooled() -> None:
    pool = pool_lib.ConnectionPool(host="127.0.0.1", port=1, limit=3)
    skipped = [await answered_connection(pool, rejected="r1") for _ in range(2)]
    with pytest.raises(errors.ConnectError):
        await pool.acquire(request_id="r1")
    assert list(pool.idle) == skipped
    skipped[0].data_received(b"HTTP/1.1 503 late copy")
    assert await pool.acquire(request_id="r1x") is skipped[1]
    assert skipped[0].lost.is_set()


async def test_connection_with_many_rejections_is_closed() -> None:
    """The ids that it has to remember are bounded."""
    pool = pool_lib.ConnectionPool(host="127.0.0.1", port=1, limit=1)
    connection = connection_lib.Connection(
        role=h11.CLIENT, max_head_bytes=1_000
    )
    connection.rejected_ids.update(map(str, range(pool_lib.MAX_REJECTED_IDS)))
    pool.in_use.add(connection)
    pool.release(connection)
    assert not pool.idle
    assert connection.lost.is_set()
