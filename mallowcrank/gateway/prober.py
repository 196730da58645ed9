"""
Probes of targets: whether they answer, and how fast they are.

A target is probed when its streams fall silent, when another gateway reports
it as unresponsive, and regularly for its pace. The gateways divide the regular
probes among themselves.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, unique
from http import HTTPStatus
from random import Random

from mallowcrank.gateway.assignment import HostAssignment
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.fleet import Fleet, is_current
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import DecodeFailure, Vocabulary
from mallowcrank.gateway.target_channel import (
    ChannelPool,
    ConnectFailure,
    Response,
    fetch_over,
)
from mallowcrank.gateway.target_limits import TargetLimits
from mallowcrank.gateway.targets import Lifetime, Target, TargetReport
from mallowcrank.gateway.unexpected_errors import UnexpectedErrors

REPORT_TIMEOUT_S = 0.06  # a report takes some milliseconds, more when slow
MAX_REPORT_BYTES = 262_144
LATE_ANSWER_GRACE_S = 0.01  # for answers that arrived during a freeze
RETRY_DELAY_S = 0.025  # before a second request for the same report
SUSPECT_INTERVAL_S = 0.25
UNRESPONSIVE_INTERVAL_S = 0.5
# While the gateway that probes the target regularly finds it silent, too. The
# others probe it together as often as so many gateways do.
CONFIRMED_INTERVAL_S = 2.0
CONFIRMING_GATEWAYS = 24
# A probe ends within its timeouts unless this process was stalled.
MAX_PROBE_S = 0.1
MAX_STALLED_PROBES = 3
# While this gateway is cut off, it probes some targets at random, and more as
# soon as one answers.
CUT_OFF_SAMPLE = 4
RETURN_SAMPLE = 16
PACE_INTERVAL_S = 2.5
CHECK_INTERVAL_S = 0.25


@unique
class ProbeCause(Enum):
    """
    Why a target is probed.
    """

    SILENT_REQUEST = 'silent request'
    UNREACHED = 'unreached'
    LOST_REQUEST = 'lost request'
    PEER = 'word of another gateway'
    SWEEP = 'several silent targets'
    RETURN = 'silent target'
    ORDER = 'order'
    PACE = 'pace'


class Prober:
    """
    Probes targets, and records the results in their health.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ChannelPool,
        vocabulary: Vocabulary,
        meters: Meters,
        limits: TargetLimits,
        errors: UnexpectedErrors,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._vocabulary = vocabulary
        self._meters = meters
        self._limits = limits
        self._errors = errors
        self._probed_at: dict[Lifetime, float] = {}
        self._verifying: dict[Lifetime, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._assignment = HostAssignment()
        self._random = Random()
        self._is_cut_off = False

    def probe(
        self,
        lifetimes: Iterable[Lifetime],
        cause: ProbeCause = ProbeCause.SILENT_REQUEST,
    ) -> None:
        """
        Probe targets in the background, unless they were probed just now.
        """
        for lifetime in lifetimes:
            target = self._fleet.find(lifetime.identity)
            if target and is_current(self._fleet, lifetime):
                self._start_probe(target, SUSPECT_INTERVAL_S, cause)

    async def verify_loss(self, lifetime: Lifetime) -> bool:
        """
        Return whether a target doesn't answer any more; probe it if needed.
        """
        unresponsive = self._fleet.health.unresponsive()
        target = self._fleet.find(lifetime.identity)
        if target is None or not is_current(self._fleet, lifetime):
            return False
        if lifetime not in unresponsive:
            # Many requests are lost in one crash.
            probe = self._verifying.get(lifetime)
            if probe is None:
                self._meters.probe_causes.labels(
                    ProbeCause.LOST_REQUEST.value
                ).inc()
                probe = asyncio.create_task(self._probe_target(target))
                self._verifying[lifetime] = probe
                probe.add_done_callback(lambda _: self._verifying.pop(lifetime))
            await asyncio.shield(probe)
        return lifetime in unresponsive

    def host_for(self, identity: str) -> str:
        """
        Return the host whose gateway probes a target regularly.
        """
        return self._assignment.host_for(identity)

    def set_cut_off(self, is_cut_off: bool) -> None:
        """
        Set whether this gateway reaches next to no target.

        Idle channels to silent targets are closed: they may stay dead when
        their targets are back, and nothing shows it.
        """
        self._is_cut_off = is_cut_off
        for lifetime in self._fleet.health.unresponsive():
            target = self._fleet.find(lifetime.identity)
            if target:
                self._pool.close_idle(target.address)

    def handle_unreached(
        self, lifetime: Lifetime, failure: ConnectFailure
    ) -> None:
        """
        Handle a failed connection to a target.

        A refused connection marks the target as unresponsive; any other
        failure leads to a probe.
        """
        if failure.is_refused and is_current(self._fleet, lifetime):
            self._fleet.health.record_refused_connection(lifetime)
            self._fleet.health.record_silence(
                lifetime, failure.reason, monotonic_s()
            )
        else:
            self.probe((lifetime,), ProbeCause.UNREACHED)

    async def fetch_report(
        self, target: Target, may_reuse: bool = True
    ) -> TargetReport | str:
        """
        Request one target's report.

        :param may_reuse: whether an open channel may be used, which may be
            dead without a sign.
        :returns: the report, or why there is none.
        """
        reused = self._pool.take_idle(target.address) if may_reuse else None
        channel = reused or await self._pool.connect(target.address)
        if isinstance(channel, ConnectFailure):
            if channel.is_refused:
                self._fleet.health.record_refused_connection(target.lifetime)
            return channel.reason
        call = self._vocabulary.report_call(target.identity)
        sent_at = monotonic_s()
        try:
            answer = await fetch_over(
                channel,
                call,
                REPORT_TIMEOUT_S,
                max_body_bytes=MAX_REPORT_BYTES,
            )
        finally:
            self._pool.release(channel)
        if not isinstance(answer, Response):
            return f'no report in {REPORT_TIMEOUT_S} s'
        fields = self._vocabulary.response_fields(answer.head.headers)
        is_misdirected = answer.head.status == HTTPStatus.MISDIRECTED_REQUEST
        if fields.is_leaving and not is_misdirected:
            self._fleet.record_leaving(target.lifetime, 'report')
        if answer.head.status != HTTPStatus.OK:
            return f'no report in {REPORT_TIMEOUT_S} s'
        self._limits.record_answer(target.lifetime, fields, sent_at)
        report = self._vocabulary.read_report(target.identity, answer.body)
        return report.reason if isinstance(report, DecodeFailure) else report

    async def run(
        self,
        service_names: Callable[[], Iterable[str]],
        probing_hosts: Callable[[], tuple[str, Sequence[str]]],
        is_silence_confirmed: Callable[[str], bool],
    ) -> None:
        """
        Probe until cancelled: silent targets often, others for their pace.

        :param service_names: returns the services to probe.
        :param probing_hosts: returns this gateway's host, and those of all
            gateways that probe.
        :param is_silence_confirmed: returns whether the gateway that probes a
            target regularly, if it is another one, finds it silent.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            mine, hosts = probing_hosts()
            self._probe_unresponsive(is_silence_confirmed, len(hosts))
            self._assignment.update_hosts(hosts)
            for service in service_names():
                for target in self._fleet.all_targets(service):
                    if self._assignment.host_for(target.identity) == mine:
                        self._start_probe(
                            target, PACE_INTERVAL_S, ProbeCause.PACE
                        )

    def _probe_unresponsive(
        self, is_silence_confirmed: Callable[[str], bool], gateways: int
    ) -> None:
        confirmed_interval_s = confirmed_silence_interval_s(gateways)
        for lifetime in self._select_unresponsive():
            target = self._fleet.find(lifetime.identity)
            if target and is_current(self._fleet, lifetime):
                is_confirmed = is_silence_confirmed(target.identity)
                self._start_probe(
                    target,
                    confirmed_interval_s
                    if is_confirmed
                    else UNRESPONSIVE_INTERVAL_S,
                    ProbeCause.RETURN,
                )

    def _select_unresponsive(self) -> list[Lifetime]:
        """
        Return the silent targets to probe now.

        Gateways that were cut off together don't probe, or connect to, all
        targets at the same moment when they are back.
        """
        unresponsive = list(self._fleet.health.unresponsive())
        if not self._is_cut_off:
            return unresponsive
        is_back = len(unresponsive) < len(self._fleet)
        size = RETURN_SAMPLE if is_back else CUT_OFF_SAMPLE
        return self._random.sample(unresponsive, min(size, len(unresponsive)))

    def _start_probe(
        self, target: Target, interval_s: float, cause: ProbeCause
    ) -> None:
        now = monotonic_s()
        if now - self._probed_at.get(target.lifetime, 0) < interval_s:
            return
        self._probed_at[target.lifetime] = now
        self._meters.probe_causes.labels(cause.value).inc()
        if len(self._probed_at) > 2 * len(self._fleet) + 100:
            self._probed_at.clear()
        task = asyncio.get_running_loop().create_task(
            self._probe_target(target, cause)
        )
        self._tasks.add(task)
        self._errors.watch(task, 'probe')
        task.add_done_callback(self._tasks.discard)

    async def _probe_target(
        self, target: Target, cause: ProbeCause = ProbeCause.LOST_REQUEST
    ) -> None:
        for _ in range(MAX_STALLED_PROBES):
            started_at = monotonic_s()
            if target.is_engine and cause is ProbeCause.RETURN:
                # Nothing waits for the result, and kept channels may be dead.
                request = self.fetch_report(target, may_reuse=False)
                answer = await _first_report_of(
                    {asyncio.create_task(request)}, REPORT_TIMEOUT_S
                )
            elif target.is_engine:
                answer = await self._first_report(target)
            else:
                answer = await _try_connect(self._pool, target)
            is_silent = target.is_engine and isinstance(answer, str)
            if not is_silent or monotonic_s() - started_at < MAX_PROBE_S:
                break
        if is_current(self._fleet, target.lifetime):
            self._record(target, answer, monotonic_s())

    async def _first_report(self, target: Target) -> TargetReport | str:
        """
        Request a report, and once more after a short delay: a packet may be
        lost, and an open channel may be dead. Both end within a quarter of a
        second, for which streams that depend on the result may pause.

        :returns: the report, or why there is none.
        """
        first = asyncio.create_task(self.fetch_report(target))
        done, _ = await asyncio.wait((first,), timeout=RETRY_DELAY_S)
        if done:
            return first.result()
        second = asyncio.create_task(self.fetch_report(target, may_reuse=False))
        return await _first_report_of(
            {first, second}, REPORT_TIMEOUT_S - RETRY_DELAY_S
        )

    def _record(
        self, target: Target, answer: TargetReport | str, now: float
    ) -> None:
        if isinstance(answer, TargetReport):
            self._meters.probes.labels('answered').inc()
            self._fleet.health.record_answer(target.lifetime, answer.pace, now)
            self._fleet.update_layers(target.identity, answer.layers, now)
        elif not answer:
            self._fleet.health.record_answer(target.lifetime, 1, now)
        else:
            self._meters.probes.labels('unanswered').inc()
            self._fleet.health.record_silence(target.lifetime, answer, now)


def confirmed_silence_interval_s(gateways: int) -> float:
    """
    Return how often a gateway probes a target that is known to be silent by
    the one that probes it regularly, so that the cost of a silent target
    doesn't grow with the gateways.

    That one's statuses tell the others at once when the target is back.
    """
    return CONFIRMED_INTERVAL_S * max(1, gateways / CONFIRMING_GATEWAYS)


async def _try_connect(pool: ChannelPool, target: Target) -> str:
    """
    Open a channel to a target that gives no reports.

    :returns: why it can't be reached, or an empty string.
    """
    channel = await pool.connect(target.address)
    if isinstance(channel, ConnectFailure):
        return channel.reason
    channel.close()
    return ''


async def _first_report_of(
    requests: set[asyncio.Task[TargetReport | str]], within_s: float
) -> TargetReport | str:
    """
    Return the first report, or why there is none.

    :param within_s: seconds to wait for it.
    """
    until = monotonic_s() + within_s
    reason = f'no report in {REPORT_TIMEOUT_S} s'
    while requests:
        left_s = max(LATE_ANSWER_GRACE_S, until - monotonic_s())
        done, requests = await asyncio.wait(
            requests, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            break
        answers = [task.result() for task in done]
        for answer in answers:
            if isinstance(answer, TargetReport):
                return answer
            reason = answer
    for task in requests:
        task.cancel()
    return reason
