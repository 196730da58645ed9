"""
Least-loaded choice of a target for the calls of a plain service.

The load is this router's own count of calls in flight; targets in the
router's zone are preferred. Recent failures add to the load, so a target that
fails some calls gets few of them, and its recovery is still noticed.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowcrank.gateway.targets import Lifetime, Target

REMOTE_ZONE_LOAD_CALLS = 0.2  # extra load of a target in another zone
FAILURE_LOAD_CALLS = 6  # extra load of a target that fails all calls
FAILURE_DECAY = 0.75  # weight of the earlier failure share at each call
TOLERATED_FAILURE_SHARE = 0.2  # a lower share says nothing about a target


@dataclass(slots=True)
class ReplicaRecord:
    """
    The calls of this router to one target.

    :param in_flight: calls that have not ended.
    :param failures: share of failed calls, an exponential moving average.
    """

    in_flight: int = 0
    failures: float = 0


class ReplicaRecords:
    """
    Call records by target, and the choice between targets.
    """

    def __init__(self) -> None:
        self._records: dict[Lifetime, ReplicaRecord] = {}

    def record_start(self, lifetime: Lifetime) -> None:
        """
        Count the start of a call.
        """
        self._record(lifetime).in_flight += 1

    def record_end(self, lifetime: Lifetime, failed: bool | None) -> None:
        """
        Count the end of a call.

        :param failed: none if the outcome says nothing about the target.
        """
        record = self._record(lifetime)
        record.in_flight -= 1
        if failed is not None:
            outcome = 1 if failed else 0
            record.failures += (outcome - record.failures) * (1 - FAILURE_DECAY)

    def pick(
        self,
        targets: Sequence[Target],
        zone: str,
        avoided: Iterable[Lifetime],
        tie_breaker: float,
    ) -> Target | None:
        """
        Return the least loaded target, or none if all are avoided.

        :param zone: the availability zone of this router.
        :param tie_breaker: a random number from 0 to 1, 1 excluded, that
            chooses between equally loaded targets.
        """
        avoiding = set(avoided)
        usable = [each for each in targets if each.lifetime not in avoiding]
        if not usable:
            return None
        offset = int(tie_breaker * len(usable))
        rotated = usable[offset:] + usable[:offset]
        return min(rotated, key=lambda target: self._load(target, zone))

    def _load(self, target: Target, zone: str) -> float:
        record = self._records.get(target.lifetime, ReplicaRecord())
        zone_load = 0 if target.zone == zone else REMOTE_ZONE_LOAD_CALLS
        failure_load = (
            max(0, record.failures - TOLERATED_FAILURE_SHARE)
            * FAILURE_LOAD_CALLS
        )
        return record.in_flight + zone_load + failure_load

    def _record(self, lifetime: Lifetime) -> ReplicaRecord:
        return self._records.setdefault(lifetime, ReplicaRecord())
