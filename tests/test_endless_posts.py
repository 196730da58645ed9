"""
Requests without end to the server with threads: they hold neither memory nor
a thread.
"""

import socket
import threading
import time
from http import HTTPStatus
from unittest import TestCase

from mallowcrank.bounded_server import ReadLimits
from mallowcrank.calls import HttpCaller
from mallowcrank.web import WebServer, json_response
from tests.utils.flooding_peer import (
    DRIBBLE_PAUSE_S,
    MB,
    TEXT,
    TRAILER,
    Flood,
)

MAX_BODY_BYTES = MB
LIMITS = ReadLimits(total_bytes=8 * MB, chunked_bytes=4 * MB, timeout_s=0.5)
THREADS = 2
FLOOD_BYTES = 64 * MB
MAX_TAKEN_BYTES = 24 * MB  # with buffers of the sockets
DRIBBLE_S = 3  # then the test has failed
MAX_DURATION_S = 1.5
SOCKET_TIMEOUT_S = 20
CHUNKED = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
SIZED = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000000\r\n\r\n'
FLOODS = (
    ('a URL', Flood(b'POST /', TEXT)),
    ('one header', Flood(b'POST / HTTP/1.1\r\nname: ', TEXT)),
    ('headers', Flood(b'POST / HTTP/1.1\r\n', TRAILER * 5000)),
    ('a body with a length', Flood(SIZED, TEXT)),
    ('a body in chunks', Flood(CHUNKED, b'10000\r\n%s\r\n' % TEXT)),
    ('small chunks', Flood(CHUNKED, b'1\r\nx\r\n' * 5000)),
    ('one chunk', Flood(b'%sfffffffff\r\n' % CHUNKED, TEXT)),
    ('an extension', Flood(b'%s1;' % CHUNKED, TEXT)),
    ('trailers', Flood(b'%s0\r\n' % CHUNKED, TRAILER * 5000)),
)
DRIBBLES = (
    ('a URL', Flood(b'POST /', b'x')),
    ('a header', Flood(b'POST / HTTP/1.1\r\nname: ', b'x')),
    ('a body with a length', Flood(SIZED, b'x')),
    ('a body in chunks', Flood(CHUNKED, b'1\r\nx\r\n')),
    ('an extension', Flood(b'%s1;' % CHUNKED, b'x')),
)


class TestEndlessRequests(TestCase):
    def setUp(self):
        self.longest_body = 0
        self.server = WebServer(
            '127.0.0.1:0', self.answer, THREADS, MAX_BODY_BYTES, LIMITS
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def answer(self, request):
        self.longest_body = max(self.longest_body, len(request.body))
        return json_response({})

    def test_flood_ends_at_the_limit(self):
        for kind, flood in FLOODS:
            with self.subTest(kind):
                self.assertLess(self.send(flood), MAX_TAKEN_BYTES)
                self.assertLessEqual(self.longest_body, MAX_BODY_BYTES)

    def test_dribble_ends_at_the_timeout(self):
        for kind, flood in DRIBBLES:
            with self.subTest(kind):
                started = time.monotonic()
                self.send(flood, DRIBBLE_PAUSE_S, DRIBBLE_S)
                duration_s = time.monotonic() - started
                self.assertLess(duration_s, MAX_DURATION_S)

    def test_dribbles_on_all_threads_end(self):
        senders = [
            threading.Thread(
                target=self.send,
                args=(DRIBBLES[-2][1], DRIBBLE_PAUSE_S, DRIBBLE_S),
            )
            for _ in range(THREADS)
        ]
        for sender in senders:
            sender.start()
        time.sleep(10 * DRIBBLE_PAUSE_S)
        started = time.monotonic()
        reply = HttpCaller(self.server.address).call('GET', '/')
        self.assertLess(time.monotonic() - started, MAX_DURATION_S)
        self.assertEqual(reply.status, HTTPStatus.OK)
        for ended in senders:
            ended.join()

    def send(self, flood, pause_s=0, duration_s=SOCKET_TIMEOUT_S):
        """
        Send until the connection is closed, and return how much was taken.
        """
        host, _, port = self.server.address.rpartition(':')
        sent_bytes = 0
        end = time.monotonic() + duration_s
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(SOCKET_TIMEOUT_S)
            try:
                sock.sendall(flood.begin)
                while sent_bytes < FLOOD_BYTES and time.monotonic() < end:
                    sock.sendall(flood.piece)
                    sent_bytes += len(flood.piece)
                    time.sleep(pause_s)
            except ConnectionError:
                return sent_bytes
        return sent_bytes
