"""
Choice of a target for a plain call, with the permission to send it there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.permits import Denial, Permit
from mallowcrank.gateway.targets import Lifetime, Target

WAIT_SHARE = 0.8  # of the latency objective
MIN_WAIT_S = 0.001


@dataclass(frozen=True, slots=True)
class ClaimedTarget:
    """
    A target, with the permission to send one request to it.
    """

    target: Target
    permit: Permit


class TargetChooser:
    """
    Chooses among the targets of a call's service.
    """

    def __init__(self, core: Core, records: ReplicaRecords) -> None:
        self._core = core
        self._records = records

    def candidates(self, call: Call) -> list[Target]:
        """
        Return the targets that a call may be sent to.
        """
        targets = self._core.fleet.accepting_targets(call.service.name)
        return [each for each in targets if each.lifetime not in call.avoided]

    def are_all_unresponsive(self, call: Call) -> bool:
        """
        Return whether a call's service has targets, and none that answers.
        """
        targets = self._core.fleet.accepting_targets(call.service.name)
        unresponsive = self._core.fleet.health.unresponsive()
        lifetimes = {target.lifetime for target in targets}
        return bool(lifetimes) and lifetimes <= unresponsive.keys()

    def has_ready(self, call: Call) -> bool:
        """
        Return whether a call has a target that answers and takes requests.
        """
        unresponsive = self._core.fleet.health.unresponsive()
        return self._pick(call, {*unresponsive, *self._denied()}) is not None

    async def claim(self, call: Call) -> ClaimedTarget | Denial | None:
        """
        Choose a target, and claim a permit to send the call to it.

        Targets that take no more requests come after the others, and are
        waited for within a part of the latency objective. Unresponsive ones
        come last.

        :returns: none if there is no target.
        """
        unresponsive = self._core.fleet.health.unresponsive()
        while target := self._pick(call, {*unresponsive, *self._denied()}):
            claimed = await self._claim(target)
            if isinstance(claimed, ClaimedTarget):
                return claimed
        claimed = None
        target = self._pick(call, unresponsive)
        if target and self._core.permits.rests.left_s(target.lifetime):
            target = self._first_to_return(call)
        if target:
            claimed = await self._claim(target, send_wait_s(call))
        if isinstance(claimed, ClaimedTarget):
            return claimed
        suspect = self._pick(call, self._denied())
        return await self._claim(suspect) if suspect else claimed

    def _first_to_return(self, call: Call) -> Target:
        """
        Return the target that wants no requests for the shortest time.
        """
        return min(
            self.candidates(call),
            key=lambda target: self._core.permits.rests.left_s(target.lifetime),
        )

    async def _claim(
        self, target: Target, max_wait_s: float = 0
    ) -> ClaimedTarget | Denial:
        permit = await self._core.permits.claim((target.lifetime,), max_wait_s)
        if isinstance(permit, Denial):
            return permit
        return ClaimedTarget(target, permit)

    def _denied(self) -> set[Lifetime]:
        return self._core.permits.denied()

    def _pick(self, call: Call, excluded: Iterable[Lifetime]) -> Target | None:
        return self._records.pick(
            self.candidates(call),
            self._core.settings.zone,
            excluded,
            self._core.random.random(),
        )


def send_wait_s(call: Call) -> float:
    """
    Return for how many seconds a plain call may wait before it is sent.
    """
    wait_s = WAIT_SHARE * call.route.latency_objective_s
    return max(MIN_WAIT_S, wait_s - call.age_s())
