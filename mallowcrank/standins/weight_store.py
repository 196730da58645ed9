"""
The stand-in for the weight store: all loads share a limited rate.
"""

import re
import threading
from collections.abc import Iterator

from mallowcrank.clock import Clock
from mallowcrank.standins.faults import FaultOrder, Faults
from mallowcrank.standins.settings import WeightStoreSettings
from mallowcrank.web import Request, Response, Routes, json_response

CHUNK_BYTES = 64 * 1024
WEIGHTS_PATH_PATTERN = re.compile('/weights/[^/]+/([0-9]+)-([0-9]+)')


class WeightStore:
    """
    Sends weights at a limited rate.
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
        match = WEIGHTS_PATH_PATTERN.fullmatch(request.path)
        if match is None:
            return json_response({'error': 'no such weights'}, 404)
        layers = int(match[2]) - int(match[1]) + 1
        return Response(
            200, self._chunks(layers * self._settings.bytes_per_layer)
        )

    def start(self, _faults: Faults) -> None:
        """
        Do nothing: the store has no background work.
        """

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Do nothing: the store implements no faults itself.
        """

    def leave(self) -> None:
        """
        Do nothing: the store is not a target.
        """

    def finish(self) -> None:
        """
        Do nothing: interrupted loads can be requested again.
        """

    def _chunks(self, size_bytes: int) -> Iterator[bytes]:
        remaining_bytes = size_bytes
        while remaining_bytes > 0:
            chunk_bytes = min(remaining_bytes, CHUNK_BYTES)
            self._clock.sleep(self._reserve_transfer(chunk_bytes))
            yield bytes(chunk_bytes)
            remaining_bytes -= chunk_bytes

    def _reserve_transfer(self, size_bytes: int) -> float:
        with self._lock:
            now = self._clock.steady()
            self._free_at = max(now, self._free_at)
            self._free_at += size_bytes / self._settings.bytes_per_s
            return self._free_at - now
