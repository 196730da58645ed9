"""
Permits to send requests to targets that name limits.

Every request to such a target, on whichever way, needs a permit. One gateway
issues a target's permits, at the rate of the limit, to all others on request.
Gateways that disagree on which one it is, while they learn of a new gateway,
are few and for a second at most; a gateway that has just become responsible
starts with no permits. So the sum stays below one and a half times the limit.

A gateway that hears fewer than half of the others can't know which one that
is. It takes an even share of the limit, in turns at random times.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import count
from math import inf
from random import Random

from mallowcrank.gateway.assignment import HostAssignment
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers, is_isolated
from mallowcrank.gateway.permit_messages import (
    PermitAnswer,
    PermitRequest,
    Verdict,
    pack_permit_answer,
    pack_permit_request,
    read_permit_message,
)
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.target_limits import TargetLimits
from mallowcrank.gateway.target_rests import TargetRests
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.bucket import Bucket
from mallowcrank.limits.schedule import MAX_WAIT_S, PermitSchedule
from mallowcrank.limits.turns import RandomTurns
from mallowcrank.overload.retry_after import MAX_RETRY_AFTER_S

PERMIT_TTL_S = 0.4  # within which the request has to be sent
ANSWER_TIMEOUT_S = 0.15  # an answer takes some milliseconds
SILENCE_PAUSE_S = 0.5  # after which an unresponsive gateway is asked again
UNASSIGNED_PAUSE_S = 0.25  # until gateways agree on which one issues permits
MIN_PAUSE_S = 0.05  # after a denial
MAX_PAUSE_S = 1.0  # permits may come earlier than predicted
MAX_DENIED_PER_S = 200  # requests to one gateway
SETTLE_S = 2.0  # after a start, until all others are heard


@dataclass(frozen=True, slots=True)
class Permit:
    """
    Permission to send one request.

    :param valid_until: steady time, in seconds.
    """

    valid_until: float = inf

    def is_valid(self) -> bool:
        """
        Return whether the request may be sent now.
        """
        return monotonic_s() <= self.valid_until


@dataclass(frozen=True, slots=True)
class Denial:
    """
    A target takes no further request now.

    :param wait_s: seconds until there may be a permit.
    :param return_s: seconds after which a refused caller should retry.
    """

    lifetime: Lifetime
    wait_s: float
    return_s: float

    @property
    def reason(self) -> str:
        """
        Return the reason for callers and the log.
        """
        return f'{self.lifetime.identity} takes no more requests a second'


class Permits:
    """
    Decides whether a request may be sent to a target now, and counts it.

    It issues the permits of some targets, and asks others for the rest.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peers: Peers,
        journal: Journal,
        meters: Meters,
    ) -> None:
        self.rests = TargetRests(journal)
        self.limits = TargetLimits(settings.host, journal, meters)
        self._host = settings.host
        self._journal = journal
        self._peers = peers
        self._meters = meters
        self._random = Random()
        self._started_at = monotonic_s()
        self._is_accepting = False
        self._was_connected = False
        self._assignment = HostAssignment()
        self._schedules: dict[Lifetime, PermitSchedule] = {}
        self._issuers: Mapping[Lifetime, str] = {}
        self._turns = RandomTurns(self._random)
        self._denied_until: dict[Lifetime, float] = {}
        self._silent_until: dict[str, float] = {}
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}

    # Queries

    def denied(self) -> set[Lifetime]:
        """
        Return the targets that take no further request now.
        """
        resting = self.rests.resting()
        if not self._denied_until:
            return resting
        now = monotonic_s()
        return resting.union(
            lifetime
            for lifetime, until in self._denied_until.items()
            if now < until and self.limits.find(lifetime)
        )

    # Commands

    async def claim(
        self, lifetimes: Iterable[Lifetime], max_wait_s: float = 0
    ) -> Permit | Denial:
        """
        Claim a permit for one request to some targets.

        It is counted, whether or not the request is sent.

        :param max_wait_s: how long to wait for a permit, in seconds; 0 if the
            request can go elsewhere.
        """
        lifetimes = tuple(lifetimes)
        resting = max(lifetimes, key=self.rests.left_s, default=None)
        if resting and self.rests.left_s(resting):
            return _deny_rest(
                resting, self.rests.left_s(resting), self._random.random()
            )
        permit = Permit()
        limited = [each for each in lifetimes if self.limits.find(each)]
        while limited:
            lifetime = limited.pop(0)
            started_at = monotonic_s()
            answer = await self._claim_one(lifetime, max_wait_s)
            self._meters.permits.labels(answer.verdict.name.lower()).inc()
            if answer.verdict is not Verdict.GRANTED:
                return self._denial(lifetime, answer)
            slot_at = started_at + answer.wait_s
            permit = Permit(min(permit.valid_until, slot_at + PERMIT_TTL_S))
            if answer.wait_s:
                await asyncio.sleep(slot_at - monotonic_s())
        return permit

    async def claim_path(
        self,
        lifetimes: Sequence[Lifetime],
        max_wait_s: float = 0,
        known: Collection[Lifetime] = (),
    ) -> Permit | Denial:
        """
        Claim a permit for one request over a chain of engines.

        The limit binds the requests of gateways, so that the first engine has
        to grant one. Engines farther down grant one while they can; beyond
        that, they get the request from another engine without.

        :param known: engines that already run the request.
        """
        denied = self.denied().difference(lifetimes[:1])
        return await self.claim(
            [each for each in lifetimes if each not in {*denied, *known}],
            max_wait_s,
        )

    def update(self, is_accepting: bool) -> None:
        """
        Update which gateways issue permits; is called at short intervals.

        :param is_accepting: whether this gateway accepts callers.
        """
        self._is_accepting = is_accepting
        now = monotonic_s()
        is_cut_off = is_isolated(self._peers)
        if not is_cut_off:
            self._was_connected = True
            self._turns.clear()
        self._denied_until = {
            lifetime: until
            for lifetime, until in self._denied_until.items()
            if now < until
        }
        self.rests.forget_ended()
        issuers = {
            lifetime: '' if is_cut_off else self._issuer_of(lifetime)
            for lifetime in self.limits.in_force()
        }
        for lifetime in list(self._schedules):
            if issuers.get(lifetime) != self._host:
                self._schedules.pop(lifetime)
        self._log_issuers(issuers)

    def handle_datagram(self, raw: bytes, sender: Address) -> None:
        """
        Handle a datagram of another gateway.
        """
        message = read_permit_message(raw)
        match message:
            case PermitRequest():
                self.limits.apply_report(message.lifetime, message.limit)
                answer = replace(
                    self._issue(message.lifetime, message.max_wait_s),
                    number=message.number,
                )
                self._peers.send(pack_permit_answer(answer), sender)
            case PermitAnswer():
                pending = self._pending.get(message.number)
                if pending and not pending.done():
                    pending.set_result(message)

    def _log_issuers(self, issuers: Mapping[Lifetime, str]) -> None:
        for lifetime, issuer in issuers.items():
            if self._issuers.get(lifetime) != issuer:
                self._journal.say(
                    'limits: permit issuer changed',
                    target=lifetime.identity,
                    issuer=issuer or None,
                    share=1 if issuer else round(1 / self._peers.count(), 4),
                )
        self._issuers = issuers

    async def _claim_one(
        self, lifetime: Lifetime, max_wait_s: float
    ) -> PermitAnswer:
        observed = self.limits.find(lifetime)
        if observed is None:
            return _answer(0)
        if is_isolated(self._peers):
            if not self._was_connected:
                # The number of gateways is unknown.
                return _answer(SILENCE_PAUSE_S)
            interval_s = self._peers.count() / observed.granted_per_s
            return _answer(
                self._turns.claim(lifetime, interval_s, monotonic_s())
            )
        issuer = self._issuer_of(lifetime)
        if issuer == self._host:
            return self._issue(lifetime, max_wait_s)
        status = self._candidates().get(issuer)
        if status is None:
            return _answer(UNASSIGNED_PAUSE_S, Verdict.NOT_ASSIGNED)
        limit = observed.report(monotonic_s())
        return await self._ask(
            status, PermitRequest(0, lifetime, limit, max_wait_s)
        )

    async def _ask(
        self,
        issuer: GatewayStatus,
        request: PermitRequest,
        may_repeat: bool = True,
    ) -> PermitAnswer:
        """
        Ask another gateway for a permit.

        :param may_repeat: whether to ask again, as a datagram may be lost.
        """
        if monotonic_s() < self._silent_until.get(issuer.host, -inf):
            return _answer(SILENCE_PAUSE_S)
        number = next(self._numbers)
        pending = asyncio.get_running_loop().create_future()
        self._pending[number] = pending
        self._peers.send(
            pack_permit_request(replace(request, number=number)), issuer.gossip
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await pending
        except TimeoutError:
            self._meters.permits.labels('unanswered').inc()
        finally:
            self._pending.pop(number)
        if may_repeat:
            return await self._ask(issuer, request, may_repeat=False)
        self._silent_until[issuer.host] = monotonic_s() + SILENCE_PAUSE_S
        return _answer(SILENCE_PAUSE_S)

    def _issue(self, lifetime: Lifetime, max_wait_s: float) -> PermitAnswer:
        """
        Issue a permit as the gateway that is responsible for a target.
        """
        now = monotonic_s()
        is_settled = now - self._started_at > SETTLE_S
        if not is_settled or self._issuer_of(lifetime) != self._host:
            return _answer(UNASSIGNED_PAUSE_S, Verdict.NOT_ASSIGNED)
        observed = self.limits.find(lifetime)
        if observed is None:
            return _answer(0)
        schedule = self._schedules.get(lifetime)
        if schedule is None:
            schedule = PermitSchedule(Bucket(0, now))
            self._schedules[lifetime] = schedule
        limit = observed.granted_per_s
        max_wait_s = min(max_wait_s, MAX_WAIT_S)
        wait_s = schedule.claim(limit, now, max_wait_s)
        if wait_s <= max_wait_s:
            return PermitAnswer(0, Verdict.GRANTED, wait_s, 0)
        return_s = schedule.assign_return_s(limit, now) if max_wait_s else 0
        return PermitAnswer(0, Verdict.DENIED, wait_s, return_s)

    def _denial(self, lifetime: Lifetime, answer: PermitAnswer) -> Denial:
        pause_s = max(
            MIN_PAUSE_S,
            min(MAX_PAUSE_S, answer.wait_s),
            self._peers.count() / MAX_DENIED_PER_S,
        )
        self._denied_until[lifetime] = monotonic_s() + pause_s
        # Callers without a time of their own don't retry all at once.
        spread_s = self._random.random() * answer.wait_s
        return_s = max(MIN_PAUSE_S, answer.return_s or answer.wait_s + spread_s)
        return Denial(lifetime, answer.wait_s, min(MAX_RETRY_AFTER_S, return_s))

    def _issuer_of(self, lifetime: Lifetime) -> str:
        """
        Return the host that issues a target's permits; empty if none does.
        """
        hosts = set(self._candidates())
        if self._is_accepting:
            hosts.add(self._host)
        self._assignment.update_hosts(hosts)
        return self._assignment.host_for(lifetime.identity)

    def _candidates(self) -> dict[str, GatewayStatus]:
        """
        Return the other gateways that may issue permits, by host.

        Those of earlier builds send no limits, and don't answer requests.
        """
        statuses = [peer.last_status for peer in self._peers.live()]
        return {
            status.host: status
            for status in statuses
            if status.accepts_callers and status.limits is not None
        }


def _answer(wait_s: float, denial: Verdict = Verdict.DENIED) -> PermitAnswer:
    """
    Return an answer: a permit, or a denial if there is a wait.
    """
    verdict = denial if wait_s else Verdict.GRANTED
    return PermitAnswer(0, verdict, wait_s, 0)


def _deny_rest(lifetime: Lifetime, rest_s: float, spread: float) -> Denial:
    """
    Return a denial; callers come back spread over as long a time again.

    :param spread: a random number from 0 to 1.
    """
    return_s = min(MAX_RETRY_AFTER_S, rest_s + spread * rest_s)
    return Denial(lifetime, rest_s, return_s)
