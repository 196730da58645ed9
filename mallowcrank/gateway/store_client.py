"""
Calls to the platform's store.
"""

from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ChannelPool,
    ConnectFailure,
    ReadTimeout,
    Response,
    encode_request,
)

CALL_S = 1.0  # an answer takes some ms; a slow store's takes 60 times that


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """
    An answer of the store.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """
    A call without an answer.

    :param reason: why.
    """

    reason: str


class StoreClient:
    """
    The way to the store.
    """

    def __init__(
        self, address: Address, journal: Journal, meters: Meters
    ) -> None:
        self._address = address
        self._journal = journal
        self._meters = meters
        self._pool = ChannelPool()
        self._lost_at: float | None = None
        self._regained_at = -inf
        self._host = (b'Host', str(address).encode())

    @property
    def unavailable_since(self) -> float | None:
        """
        Return since when the store gives no answers, in steady seconds.
        """
        return self._lost_at

    @property
    def recovered_at(self) -> float:
        """
        Return when the store last gave answers again.
        """
        return self._regained_at

    async def call(
        self, name: str, call: HttpCall, wait_s: float = 0
    ) -> StoreResponse | StoreFailure:
        """
        Make one call.

        :param name: for metrics and logs.
        :param wait_s: how long the store may wait before it answers.
        """
        answer = await self._call(call, wait_s + CALL_S)
        failure = _failure_of(answer)
        self._meters.store_calls.labels(name, failure or 'ok').inc()
        self._note(name, failure)
        return answer

    async def _call(
        self, call: HttpCall, within_s: float
    ) -> StoreResponse | StoreFailure:
        channel = self._pool.take_idle(self._address)
        opened = channel or await self._pool.connect(self._address)
        if isinstance(opened, ConnectFailure):
            return StoreFailure('unreached')
        raw = encode_request(
            call.method,
            call.path.encode(),
            (self._host, *call.headers),
            call.body,
        )
        opened.send(raw)
        try:
            answer = await opened.read_response(within_s)
        finally:
            self._pool.release(opened)
        match answer:
            case Response():
                return StoreResponse(answer.head.status, answer.body)
            case ChannelBroken():
                return StoreFailure('broken')
            case ReadTimeout():
                return StoreFailure('silent')

    def _note(self, name: str, failure: str) -> None:
        if failure:
            # Others may have gone silent with it.
            self._pool.close_idle(self._address)
        if failure and self._lost_at is None:
            self._lost_at = monotonic_s()
            self._journal.say('store: lost', call=name, why=failure)
        elif not failure and self._lost_at is not None:
            now = monotonic_s()
            self._journal.say(
                'store: regained', lost_s=round(now - self._lost_at, 3)
            )
            self._lost_at = None
            self._regained_at = now


def _failure_of(answer: StoreResponse | StoreFailure) -> str:
    if isinstance(answer, StoreFailure):
        return answer.reason
    refused = (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    return str(answer.status) if answer.status in refused else ''
