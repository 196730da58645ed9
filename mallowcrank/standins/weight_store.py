"""
The weight-store stand-in: bytes at a limited rate that all loads share.
"""

import re
import threading
from collections.abc import Iterator

from mallowcrank.clock import Clock
from mallowcrank.standins.faults import FaultOrder, Faults
from mallowcrank.standins.settings import WeightStoreSettings
from mallowcrank.web import Request, Response, Routes, json_response

CHUNK_BYTES = 64 * 1024
PATH = re.compile('/weights/[^/]+/([0-9]+)-([0-9]+)')


class WeightStore:
    """
    Sends weights as fast as its rate allows.
    """

    def __init__(self, settings: WeightStoreSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._free_at = float(0)
        routes = Routes()
        routes.add('GET', '/rate', self.rate)
        routes.add('GET', '/weights/', self.weights)
        self.answer = routes

    def rate(self, _request: Request) -> Response:
        """
        Answer `GET /rate`.
        """
        return json_response(
            {
                'bytes_per_s': self._settings.bytes_per_s,
                'bytes_per_layer': self._settings.bytes_per_layer,
            }
        )

    def weights(self, request: Request) -> Response:
        """
        Answer `GET /weights/MODEL/FIRST-LAST`.
        """
        match = PATH.fullmatch(request.path)
        if match is None:
            return json_response({'error': 'no such weights'}, 404)
        layers = int(match[2]) - int(match[1]) + 1
        return Response(
            200, self._chunks(layers * self._settings.bytes_per_layer)
        )

    def start(self, _faults: Faults) -> None:
        """
        Do nothing: the store only answers.
        """

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Do nothing: the store has no faults of its own.
        """

    def leave(self) -> None:
        """
        Do nothing: the store is no target.
        """

    def finish(self) -> None:
        """
        Do nothing: loads may be asked for again.
        """

    def _chunks(self, size: int) -> Iterator[bytes]:
        left = size
        while left > 0:
            chunk = min(left, CHUNK_BYTES)
            self._clock.sleep(self._book(chunk))
            yield bytes(chunk)
            left -= chunk

    def _book(self, size: int) -> float:
        with self._lock:
            now = self._clock.steady()
            self._free_at = max(now, self._free_at)
            self._free_at += size / self._settings.bytes_per_s
            return self._free_at - now
