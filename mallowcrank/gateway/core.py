"""
The services that all parts of a gateway share.
"""

from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

from mallowcrank.chains.budget import (
    RetryUsage,
    RetryWindows,
    SentRequest,
)
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.fleet import Fleet, is_current
from mallowcrank.gateway.journal import Importance, Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.permits import Permits
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.prober import Prober
from mallowcrank.gateway.proxies import Proxies
from mallowcrank.gateway.settings import GatewaySettings
from mallowcrank.gateway.suspects import MAX_RUN_S, Suspects
from mallowcrank.gateway.target_channel import (
    ChannelPool,
    ConnectFailure,
    ResponseHead,
    TargetChannel,
)
from mallowcrank.gateway.target_limits import TargetLimits
from mallowcrank.gateway.targets import Lifetime, Target
from mallowcrank.gateway.unexpected_errors import UnexpectedErrors
from mallowcrank.overload.retry_after import RetryAfterSchedule


@dataclass(slots=True)
class Core:
    """
    The services that all parts of a gateway share.

    Only the settings are replaced while the gateway runs.
    """

    settings: GatewaySettings
    vocabulary: Vocabulary
    journal: Journal
    meters: Meters
    random: Random
    fleet: Fleet
    ledger: MemoryLedger
    retry_windows: RetryWindows
    pool: ChannelPool
    prober: Prober
    peers: Peers
    permits: Permits
    suspects: Suspects
    proxies: Proxies
    errors: UnexpectedErrors
    retry_after: RetryAfterSchedule = field(default_factory=RetryAfterSchedule)

    @property
    def limits(self) -> TargetLimits:
        """
        Return what targets say of their own limits.
        """
        return self.permits.limits

    def apply_settings(self, settings: GatewaySettings) -> None:
        """
        Put reloaded settings into force.
        """
        self.settings = settings
        self.retry_windows.update_bounds(settings.bounds)
        self.pool.budget.limit(settings.memory_bytes)

    async def acquire_channel(
        self, target: Target, call: Call, may_reuse: bool = True
    ) -> TargetChannel | ConnectFailure:
        """
        Return a channel to a target: an idle one of the pool, or a new one.

        A channel that has carried the call isn't used for it again. A faulty
        target may repeat its refusal there, which would be taken for the
        answer to the next send.

        :param may_reuse: whether an idle channel will do.
        """
        idle = (
            self.pool.take_idle(target.address, call.channels)
            if may_reuse
            else None
        )
        channel = idle or await self._open_channel(target)
        if not isinstance(channel, ConnectFailure):
            call.channels.add(channel)
        return channel

    def retry_usage(self, service: str) -> RetryUsage:
        """
        Return how much of this gateway's retry budget is in use.
        """
        window = self.retry_windows.for_service(service)
        usage = window.usage(monotonic_s(), self.peers.count())
        self.meters.retries.labels(service, 'sent').set(usage.retries)
        self.meters.retries.labels(service, 'allowed').set(usage.allowed)
        return usage

    def count_request(self, call: Call) -> None:
        """
        Count a request for the retry budget, at the gateway that it came to.
        """
        if not call.is_proxied:
            window = self.retry_windows.for_service(call.service.name)
            window.count_request(monotonic_s())

    def claim_retry(self, service: str) -> SentRequest | None:
        """
        Count a retry if the budget allows it.

        It counts before it waits for a channel, so that other retries that
        wait at the same time don't use the same room.
        """
        if not self.retry_usage(service).has_room:
            return None
        window = self.retry_windows.for_service(service)
        return window.count_retry(monotonic_s())

    def cancel_retry(self, service: str, retry: SentRequest | None) -> None:
        """
        Take back a retry that was claimed and isn't sent, if there is one.
        """
        if retry:
            self.retry_windows.for_service(service).cancel_retry(retry)

    def has_ended(self, lifetime: Lifetime) -> bool:
        """
        Return whether a lifetime of a target is over, as far as this gateway
        can tell.
        """
        unresponsive = self.fleet.health.unresponsive()
        return lifetime in unresponsive or not is_current(self.fleet, lifetime)

    async def check_crash(
        self, call: Call, lifetime: Lifetime, sent_at: float
    ) -> bool:
        """
        Record a call without a complete answer if its target has crashed.

        :param sent_at: steady time at which it was sent there, in seconds.
        :returns: whether the call may be sent again.
        """
        lasted_s = monotonic_s() - sent_at
        if lasted_s > MAX_RUN_S or self.proxies.reachability.is_cut_off:
            return True
        if not await self.prober.verify_loss(lifetime):
            return True
        self.suspects.record_lost(
            call.fields.request_id,
            lifetime,
            call.traits(),
            lasted_s,
        )
        return self.suspects.may_resend(call.traits(), call.has_begun)

    def record_statements(
        self,
        call: Call,
        lifetime: Lifetime,
        head: ResponseHead,
    ) -> None:
        """
        Record what a target says of itself in the head of a response: that it
        leaves, its limit, and for how long it wants no request of this gateway.

        A refusal may be that of an engine farther down the path, and names
        that one's limit. 421 Misdirected Request comes from another lifetime
        at the address.
        """
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        fields = self.vocabulary.response_fields(head.headers)
        if fields.is_leaving:
            self.fleet.record_leaving(lifetime, call.fields.request_id)
        if self.is_refusal(head) and fields.retry_after_s:
            self.permits.rests.record(
                lifetime, fields.retry_after_s, call.fields.request_id
            )
        if fields.leaving_problem:
            self.journal.say(
                'fleet: invalid statement of leaving',
                Importance.FAILURE,
                target=lifetime.identity,
                request=call.fields.request_id,
                why=fields.leaving_problem,
            )
        if fields.fault_address:
            faulty = self.fleet.find_by_address(fields.fault_address)
            lifetime = faulty.lifetime if faulty else lifetime
        self.limits.record_answer(lifetime, fields, call.sent_at)

    def is_success(self, head: ResponseHead) -> bool:
        """
        Return whether a response is a genuine 2xx of a target.
        """
        is_ok = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        fields = self.vocabulary.response_fields(head.headers)
        return is_ok and fields.is_genuine

    def is_refusal(self, head: ResponseHead) -> bool:
        """
        Return whether a target states that it did not run the request.

        421 Misdirected Request counts too.
        """
        fields = self.vocabulary.response_fields(head.headers)
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        return fields.did_not_run or is_misdirected

    async def _open_channel(
        self, target: Target
    ) -> TargetChannel | ConnectFailure:
        opened = await self.pool.connect(target.address)
        if isinstance(opened, ConnectFailure):
            self.meters.target_channels.labels('failed').inc()
            self.prober.handle_unreached(target.lifetime, opened)
        else:
            self.meters.target_channels.labels('opened').inc()
        return opened
