"""
Combines a router's knowledge of targets: agents' reports and its own calls.
"""

from collections.abc import Iterable, Mapping

from mallowcrank.overload.ejection import HealthRegistry, weight
from mallowcrank.routing.costs import CostInputs, LinkTimes
from mallowcrank.routing.engines import EngineIndex
from mallowcrank.routing.hints import HintTable
from mallowcrank.routing.loads import LoadTracker
from mallowcrank.view import Target

MAX_EJECTED_FRACTION = 0.5  # of the targets in a pool


class TargetRegistry:
    """
    Joins the index of targets with their loads, health and hints.

    :param availability_zone: the router's own zone.
    """

    def __init__(self, links: LinkTimes, availability_zone: str) -> None:
        self.index = EngineIndex()
        self.loads = LoadTracker()
        self.health = HealthRegistry()
        self.hints = HintTable()
        self._links = links
        self._zone = availability_zone

    # Queries

    def target(self, name: str) -> Target:
        """
        Return a target by name.

        :raises KeyError: if there is no target of that name.
        """
        return self.index.targets[name]

    def cost_inputs(self, target: Target, now: float) -> CostInputs:
        """
        Return the current inputs of a target's cost.

        :param now: steady time in seconds.
        """
        return CostInputs(
            load=self.loads.estimate(target, now),
            weight=weight(self.health.get(target.name), now),
            link_ms=self._links.round_trip_ms(target, self._zone),
        )

    def usable(
        self, names: list[str], avoid: frozenset[str], now: float
    ) -> list[str]:
        """
        Return the names that are neither ejected nor to be avoided.

        If most of a pool would be ejected, the cause is more likely the router
        or the load than the targets, so ejection is ignored.

        :param names: targets of one pool.
        :param avoid: targets to leave out in any case.
        :param now: steady time in seconds.
        """
        blocked = self.health.blocked_targets(now, self.loads.own_in_flight)
        if blocked and self._exceeds_ejection_limit(blocked, names):
            blocked = frozenset()
        if not blocked and not avoid:
            return names
        return exclude(exclude(names, avoid), blocked)

    def slowdown(self, serves: str) -> float:
        """
        Return the mean slowdown of the busiest layer range of a pool.

        :returns: call time over idle call time; 1 means idle.
        """
        ranges = tuple(self.index.ranges(serves).values())
        pools = ranges or (self.index.replicas(serves),)
        return max(map(self._mean_slowdown, pools), default=1)

    # Commands

    def apply(
        self, targets: Mapping[str, Target], names: Iterable[str], now: float
    ) -> frozenset[str]:
        """
        Update the registry from the targets of a changed view.

        :param targets: all targets of the view.
        :param names: targets that were added, changed or removed.
        :param now: steady time in seconds.
        :returns: the models and services whose targets changed.
        """
        is_first = not self.index.targets
        previous = {name: self.index.targets.get(name) for name in names}
        changed = self.index.apply(targets, previous)
        for name, before in previous.items():
            target = targets.get(name)
            if target is None:
                self._forget(name)
                continue
            self._update(before, target)
            if not is_first and not _is_same_incarnation(before, target):
                self.health.add_target(name, target.incarnation, now)
        return changed

    def record_answer(self, name: str, seconds: float, now: float) -> None:
        """
        Record a call that was answered.

        :param seconds: duration of the call.
        :param now: steady time in seconds.
        """
        target = self.index.targets.get(name)
        if target is None:
            return
        link_ms = self._links.round_trip_ms(target, self._zone)
        self.loads.record_answer(target, seconds, link_ms, now)
        self.health.record_success(name, now)

    def _exceeds_ejection_limit(
        self, blocked: frozenset[str], names: list[str]
    ) -> bool:
        serves = self.target(names[0]).serves if names else ''
        in_pool = sum(
            name in self.index.targets and self.target(name).serves == serves
            for name in blocked
        )
        return in_pool > MAX_EJECTED_FRACTION * self.index.count(serves)

    def _mean_slowdown(self, names: list[str]) -> float:
        used = [name for name in names if self.loads.own_in_flight(name)]
        if not used:
            return 1
        return sum(map(self.loads.slowdown, used)) / len(used)

    def _update(self, previous: Target | None, target: Target) -> None:
        self.loads.record_report(target)
        if previous is not None and not _is_same_incarnation(previous, target):
            self.hints.reset_events(target.name)

    def _forget(self, name: str) -> None:
        self.loads.forget(name)
        self.health.remove_target(name)
        self.hints.reset_events(name)


def exclude(names: list[str], excluded: frozenset[str]) -> list[str]:
    """
    Return the names that are not excluded.
    """
    return [name for name in names if name not in excluded]


def _is_same_incarnation(previous: Target | None, target: Target) -> bool:
    return previous is not None and previous.incarnation == target.incarnation
