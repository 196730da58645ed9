"""
A replica of a plain service in this process, with faults by order.
"""

import threading

from mallowcrank.web import Routes, WebServer, json_response
from tests.utils.local_router import service_target

SILENCE_LIMIT_S = 20


class FakeReplica:
    """
    Counts what it ran.

    `mute` lets so many calls run and stay without an answer; `vouch` refuses
    so many with `X-Ran: no`.
    """

    def __init__(self, name, serves='stock', mute=0, vouch=0):
        self.name = name
        self.serves = serves
        self.mute = mute
        self.vouch = vouch
        self.ran = []
        self._released = threading.Event()
        routes = Routes()
        routes.add('*', '/', self._work)
        self.server = WebServer('127.0.0.1:0', routes, threads=8)
        self.server.start()

    @property
    def target(self):
        return service_target(self.name, self.server.address, self.serves)

    def stop(self):
        self._released.set()
        threading.Thread(target=self.server.stop, daemon=True).start()

    def _work(self, request):
        if self.vouch:
            self.vouch -= 1
            return json_response({}, 503, (('X-Ran', 'no'),))
        self.ran.append(request)
        if self.mute:
            self.mute -= 1
            self._released.wait(SILENCE_LIMIT_S)
        return json_response({'name': self.name, 'number': len(self.ran)})
