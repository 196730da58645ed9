"""
Makes calls to the platform's store and tracks whether it is available.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import (
    DecodeFailure,
    Headers,
    HttpCall,
    StoreCalls,
)
from mallowcrank.gateway.receiving import ReceiveBudget
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ChannelPool,
    ConnectFailure,
    ReadTimeout,
    Response,
    encode_request,
)

# A response takes a few ms; that of a slow store takes 60 times as long.
CALL_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 4.0  # for a megabyte over a busy link
OUTDATED = 'outdated'


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """
    A response of the store, with any status.

    :param era: the store's era, in which the offsets hold.
    """

    status: int
    body: bytes
    era: int = 0


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """
    A call that got no response.

    :param reason: `unreached`, `broken`, `silent`, or `outdated` for a response
        of an era of the store that is over.
    """

    reason: str


class StoreClient:
    """
    A client of the store.

    :param budget: for what its channels may hold; one of their own by default.
    """

    def __init__(
        self,
        address: Address,
        store_calls: StoreCalls,
        journal: Journal,
        meters: Meters,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._address = address
        self._store_calls = store_calls
        self._journal = journal
        self._meters = meters
        self._pool = ChannelPool(budget)
        self._unavailable_since: float | None = None
        self._recovered_at = -inf
        self._era: int | None = None
        self._era_changed_at = -inf
        self._era_problem = ''
        self._on_new_era: Callable[[], None] = _ignore
        self._on_recovery: Callable[[], None] = _ignore
        self._host = (b'Host', str(address).encode())

    @property
    def unavailable_since(self) -> float | None:
        """
        Return the monotonic time since which calls fail, in seconds; `None`
        while the store is available.
        """
        return self._unavailable_since

    @property
    def recovered_at(self) -> float:
        """
        Return the monotonic time at which calls last succeeded again, in
        seconds.
        """
        return self._recovered_at

    @property
    def era(self) -> int:
        """
        Return the era of the last response; 0 before the first one.
        """
        return self._era or 0

    @property
    def era_changed_at(self) -> float:
        """
        Return the monotonic time at which the store was first seen in another
        era, in seconds.
        """
        return self._era_changed_at

    def listen(
        self,
        on_new_era: Callable[[], None],
        on_recovery: Callable[[], None] | None = None,
    ) -> None:
        """
        Set the callbacks for a new era, and for calls that succeed again.
        """
        self._on_new_era = on_new_era
        self._on_recovery = on_recovery or _ignore

    async def call(
        self, name: str, call: HttpCall, wait_s: float = 0
    ) -> StoreResponse | StoreFailure:
        """
        Make one call.

        :param name: name of the call in metrics and logs.
        :param wait_s: seconds that the store may wait before it responds.
        """
        response = await self._exchange(name, call, wait_s + CALL_TIMEOUT_S)
        failure = _failure_of(response)
        self._meters.store_calls.labels(name, failure or 'ok').inc()
        self._track_availability(name, failure)
        return response

    async def _exchange(
        self, name: str, call: HttpCall, timeout_s: float
    ) -> StoreResponse | StoreFailure:
        idle = self._pool.take_idle(self._address)
        channel = idle or await self._pool.connect(self._address)
        if isinstance(channel, ConnectFailure):
            return StoreFailure('unreached')
        data = encode_request(
            call.method,
            call.path.encode(),
            (self._host, *call.headers),
            call.body,
        )
        sent_at = monotonic_s()
        channel.send(data)
        try:
            response = await channel.read_response(
                timeout_s, TRANSFER_TIMEOUT_S
            )
        finally:
            self._pool.release(channel)
        match response:
            case Response(head, body):
                if self._accept_era(name, head.headers, sent_at):
                    return StoreResponse(head.status, body, self.era)
                return StoreFailure(OUTDATED)
            case ChannelBroken():
                return StoreFailure('broken')
            case ReadTimeout():
                return StoreFailure('silent')

    def _accept_era(self, name: str, headers: Headers, sent_at: float) -> bool:
        """
        Record the era of a response; without a valid one, a response counts as
        of the last known era.

        :param sent_at: steady time at which the call was sent, in seconds.
        :returns: whether the response holds: it is not of an earlier era.
        """
        era = self._store_calls.decode_era(headers)
        problem = era.reason if isinstance(era, DecodeFailure) else ''
        if problem and problem != self._era_problem:
            self._journal.say('store: no era', call=name, why=problem)
        self._era_problem = problem
        if isinstance(era, DecodeFailure) or era == self._era:
            return True
        if self._era is not None and sent_at < self._era_changed_at:
            self._journal.say(
                'store: outdated answer', era=era, known=self._era, call=name
            )
            return False
        self._enter_era(name, era)
        return True

    def _enter_era(self, name: str, era: int) -> None:
        """
        Go on in an era, which may be lower than the one before.
        """
        before = self._era
        self._era = era
        self._meters.store_era.set(era)
        if before is None:
            return
        self._journal.say(
            'store: era changed', era=era, before=before, call=name
        )
        self._era_changed_at = monotonic_s()
        # Channels of the era before may be silent for good.
        self._pool.close_idle(self._address)
        self._on_new_era()

    def _track_availability(self, name: str, failure: str) -> None:
        if failure == OUTDATED:
            return
        if failure:
            # The other connections may be dead as well.
            self._pool.close_idle(self._address)
        if failure and self._unavailable_since is None:
            self._unavailable_since = monotonic_s()
            self._journal.say('store: lost', call=name, why=failure)
        elif not failure and self._unavailable_since is not None:
            now = monotonic_s()
            self._journal.say(
                'store: regained',
                lost_s=round(now - self._unavailable_since, 3),
            )
            self._unavailable_since = None
            self._recovered_at = now
            self._on_recovery()


def _ignore() -> None:
    """
    Do nothing; the default until a callback is set.
    """


def _failure_of(response: StoreResponse | StoreFailure) -> str:
    if isinstance(response, StoreFailure):
        return response.reason
    unavailable = (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    return str(response.status) if response.status in unavailable else ''
