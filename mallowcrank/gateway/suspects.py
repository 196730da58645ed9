"""
Requests that may crash the engines that begin to answer them.

A request with a part that is known to crash engines is refused for good. While
a part is in doubt, one request of this gateway at a time is sent with it. A
request that was lost in a crash is sent again only if all its parts are sound.
"""

import asyncio
from collections.abc import Iterable

from mallowcrank.chains.suspect_parts import (
    EXCHANGE_S,
    LostRequest,
    PromptPart,
    SuspectParts,
    Suspicion,
)
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.status_parts import (
    AnsweredPart,
    LostReport,
    PartsReport,
)
from mallowcrank.gateway.targets import Lifetime

CHECK_INTERVAL_S = 0.02
MAX_REPORTED = 24  # lost requests in a status, the latest ones


class Suspects:
    """
    What this gateway and others know of parts of prompts that crash engines.
    """

    def __init__(self, journal: Journal, meters: Meters) -> None:
        self._journal = journal
        self._meters = meters
        self._parts = SuspectParts()
        self._logged: dict[PromptPart, Suspicion] = {}
        self._trials: dict[PromptPart, str] = {}

    # Queries

    def suspicion(self, parts: Iterable[PromptPart]) -> Suspicion:
        """
        Return the worst that is known against some parts.
        """
        if not self._parts.lost:
            return Suspicion.NONE
        known = self._parts.suspicions(monotonic_s())
        return max(
            (known.get(part, Suspicion.NONE) for part in parts),
            default=Suspicion.NONE,
        )

    def may_resend(self, parts: Iterable[PromptPart]) -> bool:
        """
        Return whether a request that was lost in a crash may be sent again:
        each of its parts was answered recently, and isn't in doubt.
        """
        parts = tuple(parts)
        if self.suspicion(parts):
            return False
        return all(self._parts.is_sound(part, monotonic_s()) for part in parts)

    def known(self) -> list[dict[str, object]]:
        """
        Return all parts in doubt, with the crashes that speak against them.
        """
        suspicions = self._parts.suspicions(monotonic_s())
        return [
            {
                'service': part.service,
                'part': part.name,
                'suspicion': suspicion.name.lower(),
                'lost': [
                    {'request': each.request, 'engine': each.engine}
                    for each in self._parts.lost
                    if part in each.parts
                ],
            }
            for part, suspicion in suspicions.items()
        ]

    def report(self) -> PartsReport | None:
        """
        Return what other gateways should know; `None` if there is nothing.
        """
        now = monotonic_s()
        latest = self._parts.lost[-MAX_REPORTED:]
        if not latest:
            return None
        answered = {
            part: now - self._parts.answered_at(part)
            for lost in latest
            for part in lost.parts
        }
        return PartsReport(
            tuple(
                LostReport(lost.request, lost.engine, now - lost.at, lost.parts)
                for lost in latest
            ),
            tuple(
                AnsweredPart(part, age_s)
                for part, age_s in answered.items()
                if age_s < EXCHANGE_S
            ),
            tuple(
                part
                for part, suspicion in self._parts.suspicions(now).items()
                if suspicion is Suspicion.CONFIRMED
            ),
        )

    # Commands

    async def claim_trial(
        self, request: str, parts: Iterable[PromptPart], within_s: float
    ) -> Suspicion:
        """
        Wait until a request with parts in doubt may be sent.

        :param within_s: seconds to wait for other requests with these parts.
        :returns: what still speaks against the request, or that nothing does.
        """
        parts = tuple(parts)
        until = monotonic_s() + within_s
        while True:
            suspicion = self.suspicion(parts)
            if suspicion is not Suspicion.DOUBTFUL:
                return suspicion
            if not any(part in self._trials for part in parts):
                self._start_trial(request, parts)
                return Suspicion.NONE
            if monotonic_s() >= until:
                return suspicion
            await asyncio.sleep(CHECK_INTERVAL_S)

    def end_trial(self, request: str) -> None:
        """
        Let other requests with the parts of a request be sent.
        """
        if self._trials:
            self._trials = {
                part: holder
                for part, holder in self._trials.items()
                if holder != request
            }

    def record_lost(
        self, request: str, lifetime: Lifetime, parts: Iterable[PromptPart]
    ) -> None:
        """
        Record a request that was lost in the crash of an engine.
        """
        now = monotonic_s()
        lost = LostRequest(request, lifetime.identity, now, tuple(parts))
        if self._parts.record_lost(lost, now):
            self._journal.say(
                'suspects: request lost in a crash',
                request=request,
                target=lifetime.identity,
                parts=[part.name for part in lost.parts],
            )
            self.update()

    def record_answered(self, parts: Iterable[PromptPart]) -> None:
        """
        Record that a request was answered.
        """
        self._parts.record_answered(parts, monotonic_s())

    def apply(self, report: PartsReport) -> None:
        """
        Apply what another gateway knows.
        """
        now = monotonic_s()
        for answered in report.answered:
            self._parts.clear(answered.part, now - answered.age_s)
        for lost in report.lost:
            self._parts.record_lost(
                LostRequest(
                    lost.request, lost.engine, now - lost.age_s, lost.parts
                ),
                now,
            )
        for part in report.confirmed:
            self._parts.record_confirmed(part, now)

    def clear(self, part: PromptPart) -> None:
        """
        Drop what is held against a part, here and at all other gateways.
        """
        self._parts.clear(part, monotonic_s())
        self._journal.say(
            'suspects: part cleared by the operator',
            service=part.service,
            part=part.name,
        )
        self.update()

    def update(self) -> None:
        """
        Log and count what has changed; is called at short intervals.
        """
        if not self._parts.lost and not self._logged:
            return
        known = dict(self._parts.suspicions(monotonic_s()))
        for part in known.keys() | self._logged.keys():
            suspicion = known.get(part, Suspicion.NONE)
            if suspicion is not self._logged.get(part, Suspicion.NONE):
                self._log_change(part, suspicion)
        self._logged = known
        for level in (Suspicion.DOUBTFUL, Suspicion.CONFIRMED):
            count = sum(each is level for each in known.values())
            self._meters.suspect_parts.labels(level.name.lower()).set(count)

    def _start_trial(self, request: str, parts: Iterable[PromptPart]) -> None:
        known = self._parts.suspicions(monotonic_s())
        self._trials.update({part: request for part in parts if part in known})

    def _log_change(self, part: PromptPart, suspicion: Suspicion) -> None:
        lost = [each for each in self._parts.lost if part in each.parts]
        self._journal.say(
            'suspects: part changed',
            service=part.service,
            part=part.name,
            suspicion=suspicion.name.lower(),
            requests=[each.request for each in lost],
            targets=[each.engine for each in lost],
        )
