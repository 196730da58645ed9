"""
What a gateway answers itself: readiness, the directory, metrics.
"""

from http import HTTPStatus

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.core import JSON_HEADER, Core
from mallowcrank.gateway.directory import ANSWER_TTL_S, fronts_for
from mallowcrank.gateway.gossip import Gossip

METRICS_TYPE = (b'Content-Type', b'text/plain; version=0.0.4')


class LocalEndpoints:
    """
    Answers by this gateway.
    """

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip

    async def ready(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Answer a check of readiness.
        """
        if request.path != self._core.vocabulary.ready_path:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')
        elif self._gossip.is_ready:
            answer.send(HTTPStatus.OK, (), b'')
        else:
            answer.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def directory(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Answer a caller that asks which fronts to use.
        """
        vocabulary = self._core.vocabulary
        if request.path != vocabulary.directory_path:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')
            return
        fronts = fronts_for(
            vocabulary.caller_zone(request.query),
            self._core.settings.regions,
            self._gossip.takers(),
        )
        if fronts:
            body = vocabulary.directory_answer(fronts, ANSWER_TTL_S)
            answer.send(HTTPStatus.OK, (JSON_HEADER,), body)
        else:
            answer.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def metrics(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Answer with all metrics.
        """
        text = self._core.meters.text()
        answer.send(HTTPStatus.OK, (METRICS_TYPE,), text)
