"""
Gateways that send requests to targets for another one.

A gateway that can't reach the targets passes requests on to one that can, its
proxy. The proxy serves them like those of its own callers, under its own limits
and permits, but passes them on to nobody: a request takes one hop at most. The
caller was authenticated before, and the request counts for the retry budget
where it came from.
"""

from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from urllib.parse import quote, unquote

from mallowcrank.gateway.call import Call
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.ports import Headers, Vocabulary
from mallowcrank.gateway.reachability import Reachability
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    ChannelPool,
    ConnectFailure,
    ResponseHead,
    TargetChannel,
    encode_request,
)

MAX_PROXIES = 3  # that one request is passed on to
MS_PER_S = 1000
WORKSPACE = b'gateway-workspace'
SERVICE = b'gateway-service'
PRIORITY = b'gateway-priority'
ORIGIN_HEADERS = frozenset((WORKSPACE, SERVICE, PRIORITY))
REFUSALS = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)


@dataclass(frozen=True, slots=True)
class Proxy:
    """
    A gateway that may send a request for this one.

    :param address: where it takes requests of other gateways.
    """

    host: str
    address: Address


@dataclass(frozen=True, slots=True)
class Origin:
    """
    What the gateway that a request came to has decided about it.
    """

    workspace: str
    service: str
    priority: int


class Proxies:
    """
    Chooses proxies, and passes requests on to them.
    """

    def __init__(
        self,
        reachability: Reachability,
        pool: ChannelPool,
        vocabulary: Vocabulary,
        random: Random,
    ) -> None:
        self.reachability = reachability
        self._pool = pool
        self._vocabulary = vocabulary
        self._random = random

    def find(self, call: Call, is_stuck: bool = False) -> Proxy | None:
        """
        Return a gateway to pass a call on to, if this one shouldn't send it.

        :param is_stuck: whether this gateway finds no target for it.
        """
        if call.is_proxied or len(call.proxies) >= MAX_PROXIES:
            return None
        if not is_stuck and not self.reachability.is_in_doubt:
            return None
        found = [
            _as_proxy(status)
            for status in self.reachability.better_off
            if status.host not in call.proxies
        ]
        return self._random.choice(found) if found else None

    def is_available(self, proxy: Proxy) -> bool:
        """
        Return whether a proxy is live and reaches targets.
        """
        return any(
            status.host == proxy.host and not status.is_cut_off
            for status in self.reachability.live_statuses()
        )

    async def open(
        self, call: Call, proxy: Proxy, may_reuse: bool
    ) -> TargetChannel | ConnectFailure:
        """
        Return a channel to a proxy; the call doesn't go to it again.

        :param may_reuse: whether an idle channel will do.
        """
        call.proxies.add(proxy.host)
        idle = self._pool.take_idle(proxy.address) if may_reuse else None
        return idle or await self._pool.connect(proxy.address)

    def send(
        self, call: Call, channel: TargetChannel, last_event: str = ''
    ) -> None:
        """
        Pass a call on over a channel to a proxy.

        :param last_event: id of the event after which a stream resumes.
        """
        request = call.request
        headers = self._vocabulary.proxy_headers(
            without_origin(request.headers),
            max(1, int(call.remaining_s() * MS_PER_S)),
            last_event,
        )
        origin = (
            (WORKSPACE, quote(call.workspace).encode()),
            (SERVICE, quote(call.service.name).encode()),
            (PRIORITY, b'%d' % call.priority),
        )
        call.record_send(monotonic_s())
        channel.send(
            encode_request(
                request.method,
                request.target,
                (*headers, *origin),
                request.body,
            ),
            head_only=request.method == 'HEAD',
        )


def read_origin(headers: Headers) -> Origin | None:
    """
    Return what another gateway decided about a request.

    :returns: None if the request is not one that a gateway passed on.
    """
    by_name = {name.lower(): raw.decode('latin-1') for name, raw in headers}
    priority = by_name.get(PRIORITY, '')
    if SERVICE not in by_name or not priority.isdecimal():
        return None
    return Origin(
        unquote(by_name.get(WORKSPACE, '')),
        unquote(by_name[SERVICE]),
        int(priority),
    )


def without_origin(headers: Headers) -> Headers:
    """
    Return the headers without those that gateways add for each other.
    """
    return tuple(
        pair for pair in headers if pair[0].lower() not in ORIGIN_HEADERS
    )


def is_proxy_failure(head: ResponseHead, is_genuine: bool) -> bool:
    """
    Return whether a proxy, and not the target, reports a failure.
    """
    is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return is_failure and not is_genuine


def is_proxy_refusal(head: ResponseHead) -> bool:
    """
    Return whether a proxy states that a request has not run.
    """
    return head.status in REFUSALS


def _as_proxy(status: GatewayStatus) -> Proxy:
    return Proxy(status.host, status.peers)
