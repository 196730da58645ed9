"""
Calls to the platform's store.
"""

from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.steady import steady
from mallowcrank.gateway.target_channel import (
    Broken,
    Silent,
    TargetPool,
    Unreached,
    Whole,
    request_bytes,
)

CALL_S = 1.0  # an answer takes some ms; a slow store's takes 60 times that


@dataclass(frozen=True, slots=True)
class StoreAnswer:
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


class StoreLink:
    """
    The way to the store.
    """

    def __init__(
        self, address: Address, journal: Journal, meters: Meters
    ) -> None:
        self._address = address
        self._journal = journal
        self._meters = meters
        self._pool = TargetPool()
        self._lost_at: float | None = None
        self._regained_at = -inf
        self._host = (b'Host', str(address).encode())

    @property
    def lost_at(self) -> float | None:
        """
        Return since when the store gives no answers, in steady seconds.
        """
        return self._lost_at

    @property
    def regained_at(self) -> float:
        """
        Return when the store last gave answers again.
        """
        return self._regained_at

    async def call(
        self, name: str, call: HttpCall, wait_s: float = 0
    ) -> StoreAnswer | StoreFailure:
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
    ) -> StoreAnswer | StoreFailure:
        channel = self._pool.take_kept(self._address)
        opened = channel or await self._pool.connect(self._address)
        if isinstance(opened, Unreached):
            return StoreFailure('unreached')
        raw = request_bytes(
            call.method,
            call.path.encode(),
            (self._host, *call.headers),
            call.body,
        )
        opened.send(raw)
        try:
            answer = await opened.read_whole(within_s)
        finally:
            self._pool.give_back(opened)
        match answer:
            case Whole():
                return StoreAnswer(answer.head.status, answer.body)
            case Broken():
                return StoreFailure('broken')
            case Silent():
                return StoreFailure('silent')

    def _note(self, name: str, failure: str) -> None:
        if failure:
            # Others may have gone silent with it.
            self._pool.drop_kept(self._address)
        if failure and self._lost_at is None:
            self._lost_at = steady()
            self._journal.say('store: lost', call=name, why=failure)
        elif not failure and self._lost_at is not None:
            now = steady()
            self._journal.say(
                'store: regained', lost_s=round(now - self._lost_at, 3)
            )
            self._lost_at = None
            self._regained_at = now


def _failure_of(answer: StoreAnswer | StoreFailure) -> str:
    if isinstance(answer, StoreFailure):
        return answer.reason
    refused = (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    return str(answer.status) if answer.status in refused else ''
