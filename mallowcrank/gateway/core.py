"""
What all parts of a gateway share, and one call on its way.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import orjson

from mallowcrank.chains.budget import RetryWindows
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.caller_channel import Answer, CallerRequest
from mallowcrank.gateway.desired import Repeat, RouteRule, ServiceRule
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.journal import Journal, Weight
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.ports import CallerFields, Headers, Vocabulary
from mallowcrank.gateway.prober import Prober
from mallowcrank.gateway.settings import GatewaySettings
from mallowcrank.gateway.steady import steady
from mallowcrank.gateway.target_channel import (
    Head,
    TargetChannel,
    TargetPool,
    Unreached,
)
from mallowcrank.gateway.targets import Lifetime, Target
from mallowcrank.overload.retry_after import RetryAfterSchedule


@dataclass(slots=True)
class Core:
    """
    What all parts share. Only the settings change.
    """

    settings: GatewaySettings
    vocabulary: Vocabulary
    journal: Journal
    meters: Meters
    random: Random
    fleet: Fleet
    ledger: MemoryLedger
    windows: RetryWindows
    pool: TargetPool
    prober: Prober
    peers: Peers
    returns: RetryAfterSchedule

    def take_settings(self, settings: GatewaySettings) -> None:
        """
        Take in changed settings.
        """
        self.settings = settings
        self.windows.update_bounds(settings.bounds)

    async def channel_to(
        self, target: Target, may_be_kept: bool = True
    ) -> TargetChannel | Unreached:
        """
        Take a kept channel to a target, or open one.
        """
        kept = self.pool.take_kept(target.address) if may_be_kept else None
        if kept:
            return kept
        opened = await self.pool.connect(target.address)
        if isinstance(opened, Unreached):
            self.meters.channels.labels('failed').inc()
            self.prober.handle_unreached(target.lifetime, opened)
        else:
            self.meters.channels.labels('opened').inc()
        return opened

    def is_success(self, head: Head) -> bool:
        """
        Return whether an answer is a target's success.
        """
        is_ok = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        fields = self.vocabulary.answer_fields(head.headers)
        return is_ok and fields.is_genuine

    def is_refusal(self, head: Head) -> bool:
        """
        Return whether a target vouches that it did not run a request.
        """
        fields = self.vocabulary.answer_fields(head.headers)
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        return fields.did_not_run or is_misdirected

    def answers(self, call: 'Call') -> Callable[[Headers], bool]:
        """
        Return what tells answers to a call from those to others.
        """

        def is_mine(headers: Headers) -> bool:
            fields = self.vocabulary.answer_fields(headers)
            if not fields.request:
                return fields.did_not_run
            return fields.request == call.fields.request

        return is_mine


@dataclass(slots=True)
class Call:
    """
    A caller's request on its way to targets.

    :param desired: the version of the desired state that it follows.
    :param until: steady time of its final answer at the latest, in seconds.
    :param sends: times that it was sent and may have run.
    :param refused: times that a target vouched that it did not run.
    :param waited_s: that it waited for a path.
    :param avoided: lifetimes that it is not sent to again.
    """

    request: CallerRequest
    fields: CallerFields
    answer: Answer
    route: RouteRule
    service: ServiceRule
    workspace: str
    priority: int
    desired: int
    until: float
    sends: int = 0
    refused: int = 0
    waited_s: float = 0
    avoided: set[Lifetime] = field(default_factory=set)

    @property
    def kind(self) -> str:
        """
        Return the kind of request, for metrics and logs.
        """
        return 'stream' if self.route.streams else self.route.repeat.value

    def may_run_again(self) -> bool:
        """
        Return whether its time and its route allow another send.
        """
        if self.left_s() <= 0 or self.answer.has_ended:
            return False
        if self.sends and self.route.repeat is Repeat.ONCE:
            return False
        return self.sends < self.route.max_sends

    def left_s(self) -> float:
        """
        Return the seconds until its final answer is due.
        """
        return self.until - steady()

    def age_s(self) -> float:
        """
        Return the seconds since its first byte was read.
        """
        return steady() - self.request.read_at


JSON = (b'Content-Type', b'application/json')


def refuse(
    answer: Answer, status: int, reason: str, return_s: float = 0
) -> None:
    """
    Answer with an error of the gateway's own.

    :param return_s: when the caller should come back, if it should.
    """
    headers: Headers = (JSON,)
    if return_s:
        headers = (JSON, (b'Retry-After', b'%.2f' % return_s))
    answer.send(status, headers, orjson.dumps({'error': reason}))


def conclude(core: Core, call: Call, outcome: str, **facts: object) -> None:
    """
    Count and log how a call ended.
    """
    core.meters.requests.labels(call.kind, outcome).inc()
    core.journal.say(
        f'request: {outcome}',
        Weight.USUAL if outcome == 'served' else Weight.FAILURE,
        request=call.fields.request,
        route=call.route.name,
        service=call.service.name,
        workspace=call.workspace,
        sends=call.sends,
        refused=call.refused,
        desired=call.desired,
        waited_s=round(call.waited_s, 4),
        age_s=round(call.age_s(), 4),
        left_s=round(call.left_s(), 3),
        **facts,
    )
