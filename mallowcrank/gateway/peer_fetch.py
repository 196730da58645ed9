"""
Fetches from any of several gateways that have what this one lacks.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from mallowcrank.gateway.body_coding import ACCEPT_DEFLATE, decode_body
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.peer_table import Peer
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    Response,
)

FETCH_TIMEOUT_S = 1.0  # for the head of an answer
TRANSFER_TIMEOUT_S = 4.0
MAX_SOURCES = 8  # of one fetch
MAX_PARALLEL = 3
# A gateway that failed is asked after the others for so long.
DEMOTION_S = 5


@dataclass(frozen=True, slots=True)
class Fetched:
    """
    What another gateway has answered.
    """

    peer: Peer
    body: bytes


class PeerFetcher:
    """
    Asks gateways one after the other until one has answered.

    One that is silent isn't waited for: the next one is asked meanwhile.

    :param hedge_s: seconds after which the next one is asked.
    """

    def __init__(self, core: Core, hedge_s: float) -> None:
        self._core = core
        self._hedge_s = hedge_s
        self._failed_at: dict[str, float] = {}

    async def fetch(self, peers: Sequence[Peer], path: str) -> Fetched | None:
        """
        Return the first answer.

        :param peers: the most suitable first.
        """
        demoted_since = monotonic_s() - DEMOTION_S
        waiting = sorted(
            peers, key=lambda peer: self._last_failure(peer) > demoted_since
        )[:MAX_SOURCES]
        running: set[asyncio.Task[Fetched | None]] = set()
        try:
            while waiting or running:
                if waiting and len(running) < MAX_PARALLEL:
                    fetching = self._get(waiting.pop(0), path)
                    running.add(asyncio.create_task(fetching))
                done, running = await asyncio.wait(
                    running,
                    timeout=self._hedge_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.result():
                        return task.result()
        finally:
            for task in running:
                task.cancel()
        return None

    def _last_failure(self, peer: Peer) -> float:
        return self._failed_at.get(peer.last_status.host, -inf)

    async def _get(self, peer: Peer, path: str) -> Fetched | None:
        host = peer.last_status.host
        problem = 'silent'  # if another one has answered meanwhile
        try:
            answer = await self._core.pool.fetch(
                peer.last_status.peers,
                HttpCall('GET', path, headers=(ACCEPT_DEFLATE,)),
                FETCH_TIMEOUT_S,
                TRANSFER_TIMEOUT_S,
            )
            problem = _problem_of(answer)
            if isinstance(answer, Response) and not problem:
                return Fetched(peer, decode_body(answer))
        except ValueError as error:
            problem = f'unreadable: {error}'
        finally:
            self._record(host, path, problem)
        return None

    def _record(self, host: str, path: str, problem: str) -> None:
        if not problem:
            self._failed_at.pop(host, None)
            return
        self._failed_at[host] = monotonic_s()
        self._core.journal.say(
            'peers: nothing fetched', peer=host, path=path, why=problem
        )


def _problem_of(
    answer: Response | ChannelBroken | ReadTimeout | ConnectFailure,
) -> str:
    """
    Return why an answer can't be used; empty if it can.
    """
    match answer:
        case Response(head):
            is_success = head.status == HTTPStatus.OK
            return '' if is_success else str(head.status)
        case ReadTimeout():
            return 'silent'
    return answer.reason
