"""
The stand-in for the log service.
"""

import threading
from http import HTTPStatus

from mallowcrank.clock import Clock
from mallowcrank.codec import to_plain
from mallowcrank.standins.faults import Fault, FaultOrder, Faults
from mallowcrank.standins.log_store import LogStore
from mallowcrank.standins.settings import LogSettings
from mallowcrank.web import Request, Response, Routes, json_response

DEFAULT_PAGE_RECORDS = 1000
MAX_WAIT_S = 30


class LogService:
    """
    Serves one log over HTTP.
    """

    def __init__(self, settings: LogSettings, clock: Clock) -> None:
        self._store = LogStore(settings)
        self._clock = clock
        self._appended = threading.Condition()
        routes = Routes()
        routes.add('GET', '/records', self.records)
        routes.add('POST', '/append', self.append)
        self.answer = routes

    def records(self, request: Request) -> Response:
        """
        Answer `GET /records`, waiting for a record at the requested offset.
        """
        try:
            offset = int(request.query.get('from', '0'))
            limit = int(request.query.get('limit', DEFAULT_PAGE_RECORDS))
            wait_s = float(request.query.get('wait', '0'))
        except ValueError as error:
            return json_response({'error': str(error)}, 400)
        with self._appended:
            self._appended.wait_for(
                lambda: self._store.next_offset > offset,
                min(wait_s, MAX_WAIT_S),
            )
            self._store.expire(self._clock.now())
            page = self._store.read(offset, limit)
        return json_response(to_plain(page))

    def append(self, request: Request) -> Response:
        """
        Answer `POST /append`.
        """
        try:
            body = request.json()
        except ValueError as error:
            return json_response({'error': str(error)}, 400)
        if not isinstance(body, dict) or not {'id', 'type'} <= body.keys():
            return json_response({'error': 'id and type are required'}, 400)
        with self._appended:
            if not self._store.acquire_permit(self._clock.steady()):
                return json_response(
                    {'error': 'over the rate'}, HTTPStatus.TOO_MANY_REQUESTS
                )
            offset = self._store.append(body, self._clock.now())
            self._appended.notify_all()
        return json_response({'offset': offset})

    def start(self, _faults: Faults) -> None:
        """
        Do nothing: the log has no background work.
        """

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Delete old records if the fault is `forget`.
        """
        if order.fault is Fault.FORGET:
            with self._appended:
                self._store.delete_before(order.offset)

    def leave(self) -> None:
        """
        Do nothing: the log is not a target.
        """

    def finish(self) -> None:
        """
        Do nothing: appends complete at once.
        """
