"""
Options of sockets by which the kernel finds that a peer is gone.

A path may be lost without a sign while its connections are open: nothing comes
back then, no acknowledgement either. A peer whose process is paused, on the
other hand, still acknowledges what it receives.
"""

import asyncio
import errno
import socket

# An idle channel is closed if its peer acknowledges nothing for so long.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_ANSWER_S = 1
# The same for a request on a channel that was idle before.
REQUEST_TIMEOUT_MS = 500
# A longer request may take its time on a busy link.
MAX_WATCHED_BYTES = 4096


def watch_idle(transport: asyncio.Transport) -> None:
    """
    Let the kernel probe the peer of an idle connection.
    """
    peer = transport.get_extra_info('socket')
    if peer is None or transport.is_closing():
        return
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    peer.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_ANSWER_S
    )
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)


def watch_request(transport: asyncio.Transport, size_bytes: int) -> None:
    """
    Bound the time until the peer of a reused connection acknowledges a request.

    Its answer may take longer than that, and isn't probed for: a path that is
    lost for a moment must not end a request that is being served.

    :param size_bytes: of the request.
    """
    peer = transport.get_extra_info('socket')
    if peer is None or transport.is_closing():
        return
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
    is_watched = size_bytes <= MAX_WATCHED_BYTES
    peer.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        REQUEST_TIMEOUT_MS if is_watched else 0,
    )


def is_unacknowledged(error: Exception | None) -> bool:
    """
    Return whether a connection ended as its peer acknowledged nothing.
    """
    return isinstance(error, OSError) and error.errno == errno.ETIMEDOUT
