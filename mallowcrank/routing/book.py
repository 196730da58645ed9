"""
All that a router knows of targets: what agents say, and its own calls.
"""

from collections.abc import Iterable, Mapping

from mallowcrank.overload.ejection import HealthRegistry, weight
from mallowcrank.routing.costs import LinkTimes, Standing
from mallowcrank.routing.engines import EngineIndex
from mallowcrank.routing.hints import HintTable
from mallowcrank.routing.loads import LoadBook
from mallowcrank.view import Target

MOST_EJECTED = 0.5  # part of a pool's targets that may be ejected


class TargetBook:
    """
    Joins the index of targets with their loads, health and hints.

    :param availability_zone: the router's own.
    """

    def __init__(self, links: LinkTimes, availability_zone: str) -> None:
        self.index = EngineIndex()
        self.loads = LoadBook()
        self.health = HealthRegistry()
        self.hints = HintTable()
        self._links = links
        self._zone = availability_zone

    # Queries

    def target(self, name: str) -> Target:
        """
        Return a target by name.

        :raises KeyError: when there is none.
        """
        return self.index.targets[name]

    def standing(self, target: Target, now: float) -> Standing:
        """
        Return how a target stands at the moment.
        """
        return Standing(
            load=self.loads.estimate(target, now),
            weight=weight(self.health.get(target.name), now),
            link_ms=self._links.to(target, self._zone),
        )

    def usable(
        self, names: list[str], avoid: frozenset[str], now: float
    ) -> list[str]:
        """
        Leave out what is ejected or to be avoided.

        Where most of a pool would be ejected, it is the router or the load
        that is at fault, and nothing is left out for that.
        """
        blocked = self.health.blocked_targets(now, self.loads.own)
        if blocked and self._is_most(blocked, names):
            blocked = frozenset()
        if not blocked and not avoid:
            return names
        return without(without(names, avoid), blocked)

    def slowdown(self, serves: str) -> float:
        """
        Return by how much the busiest layer range of a pool has slowed down.
        """
        ranges = tuple(self.index.ranges(serves).values())
        pools = ranges or (self.index.replicas(serves),)
        return max(map(self._mean_slowdown, pools), default=1)

    # Commands

    def apply(
        self, targets: Mapping[str, Target], names: Iterable[str], now: float
    ) -> frozenset[str]:
        """
        Take over the targets of a view that changed.

        :param names: those that are new, changed or gone.
        :returns: the models and services whose targets changed.
        """
        is_first = not self.index.targets
        known = {name: self.index.targets.get(name) for name in names}
        changed = self.index.apply(targets, known)
        for name, before in known.items():
            target = targets.get(name)
            if target is None:
                self._forget(name)
                continue
            self._meet(before, target)
            if not is_first and not _is_same_life(before, target):
                self.health.add_target(name, target.incarnation, now)
        return changed

    def answered(self, name: str, seconds: float, now: float) -> None:
        """
        Take in an answered call.
        """
        known = self.index.targets.get(name)
        if known is None:
            return
        link_ms = self._links.to(known, self._zone)
        self.loads.answered(known, seconds, link_ms, now)
        self.health.record_success(name, now)

    def _is_most(self, blocked: frozenset[str], names: list[str]) -> bool:
        serves = self.target(names[0]).serves if names else ''
        in_pool = sum(
            name in self.index.targets and self.target(name).serves == serves
            for name in blocked
        )
        return in_pool > MOST_EJECTED * self.index.count(serves)

    def _mean_slowdown(self, names: list[str]) -> float:
        used = [name for name in names if self.loads.own(name)]
        if not used:
            return 1
        return sum(map(self.loads.slowdown, used)) / len(used)

    def _meet(self, known: Target | None, target: Target) -> None:
        self.loads.report(target)
        if known is not None and not _is_same_life(known, target):
            self.hints.forget(target.name)

    def _forget(self, name: str) -> None:
        self.loads.forget(name)
        self.health.remove_target(name)
        self.hints.forget(name)


def without(names: list[str], left_out: frozenset[str]) -> list[str]:
    """
    Return names without some.
    """
    return [name for name in names if name not in left_out]


def _is_same_life(known: Target | None, target: Target) -> bool:
    return known is not None and known.incarnation == target.incarnation
