"""
In-process replica of a plain service with configurable faults.
"""

import threading

from mallowcrank.web import Routes, WebServer, json_response
from tests.utils.local_router import service_target

MAX_SILENCE_S = 20


class FakeReplica:
    """
    Replica that records the requests that it ran.

    :param unanswered: number of requests that run but get no answer.
    :param refusals: number of requests that are refused with `X-Ran: no`.
    """

    def __init__(self, name, serves='stock', unanswered=0, refusals=0):
        self.name = name
        self.serves = serves
        self.unanswered = unanswered
        self.refusals = refusals
        self.ran = []
        self._released = threading.Event()
        routes = Routes()
        routes.add('*', '/', self._answer)
        self.server = WebServer('127.0.0.1:0', routes, threads=8)
        self.server.start()

    @property
    def target(self):
        return service_target(self.name, self.server.address, self.serves)

    def stop(self):
        self._released.set()
        threading.Thread(target=self.server.stop, daemon=True).start()

    def _answer(self, request):
        if self.refusals:
            self.refusals -= 1
            return json_response({}, 503, (('X-Ran', 'no'),))
        self.ran.append(request)
        if self.unanswered:
            self.unanswered -= 1
            self._released.wait(MAX_SILENCE_S)
        return json_response({'name': self.name, 'number': len(self.ran)})
