"""
The endpoints that a gateway serves itself: readiness, the directory, metrics.
"""

from http import HTTPStatus
from urllib.parse import parse_qs

import orjson

from mallowcrank.chains.crash_evidence import Trait
from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.directory import ANSWER_TTL_S, fronts_for
from mallowcrank.gateway.error_responses import JSON_HEADER
from mallowcrank.gateway.gossip import Gossip

SUSPECTS_PATH = '/suspects'
METRICS_TYPE = (b'Content-Type', b'text/plain; version=0.0.4')


class LocalEndpoints:
    """
    Handles the requests that no target serves.
    """

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip

    async def ready(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Respond to a readiness check.
        """
        if request.path != self._core.vocabulary.ready_path:
            response.send(HTTPStatus.NOT_FOUND, (), b'')
        elif self._gossip.is_ready:
            response.send(HTTPStatus.OK, (), b'')
        else:
            response.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def directory(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Respond with the frontend addresses that a caller should use.
        """
        vocabulary = self._core.vocabulary
        if request.path != vocabulary.directory_path:
            response.send(HTTPStatus.NOT_FOUND, (), b'')
            return
        fronts = fronts_for(
            vocabulary.caller_zone(request.query),
            self._core.settings.regions,
            self._gossip.accepting_gateways(),
        )
        if fronts:
            body = vocabulary.directory_answer(fronts, ANSWER_TTL_S)
            response.send(HTTPStatus.OK, (JSON_HEADER,), body)
        else:
            response.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def metrics(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Respond with all metrics, or with the requests that may crash targets.
        """
        if request.path == SUSPECTS_PATH:
            self._suspects(request, response)
            return
        exposition = self._core.meters.text()
        response.send(HTTPStatus.OK, (METRICS_TYPE,), exposition)

    def _suspects(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        List the suspects, or clear the one that a DELETE names in its query.
        """
        suspects = self._core.suspects
        if request.method == 'DELETE':
            suspects.clear(_parse_trait(request.query))
        body = orjson.dumps(suspects.known())
        response.send(HTTPStatus.OK, (JSON_HEADER,), body)


def _parse_trait(query: str) -> Trait:
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    digest = fields.get('digest', '')
    name = digest or fields.get('part', '')
    return Trait(fields.get('service', ''), name, is_whole=bool(digest))
