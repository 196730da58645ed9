"""
Which target of a plain service a call goes to.

The least loaded one by this router's own count, those in the router's zone
first. Targets that failed lately count as more loaded, so that one which
fails a part of its calls gets few, and is noticed when it is well again.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowcrank.gateway.targets import Lifetime, Target

REMOTE_ZONE_LOAD_CALLS = 0.2  # calls; what another availability zone counts for
FAILURE_LOAD_CALLS = 6  # calls; what failing always counts for
FAILURE_DECAY = 0.75  # weight of what was known of a target, at each new call
TOLERATED_FAILURE_SHARE = (
    0.2  # share of failures that says nothing about a target
)


@dataclass(slots=True)
class ReplicaRecord:
    """
    What a router saw of one target.

    :param in_flight: calls without an answer.
    :param failures: share of failed calls, the last ones counting most.
    """

    in_flight: int = 0
    failures: float = 0


class ReplicaRecords:
    """
    The records of all targets of plain services.
    """

    def __init__(self) -> None:
        self._records: dict[Lifetime, ReplicaRecord] = {}

    def record_start(self, lifetime: Lifetime) -> None:
        """
        Count a call that was sent.
        """
        self._of(lifetime).in_flight += 1

    def record_end(self, lifetime: Lifetime, failed: bool | None) -> None:
        """
        Count the end of a call.

        :param failed: none where it says nothing about the target.
        """
        record = self._of(lifetime)
        record.in_flight -= 1
        if failed is not None:
            seen = 1 if failed else 0
            record.failures += (seen - record.failures) * (1 - FAILURE_DECAY)

    def pick(
        self,
        targets: Sequence[Target],
        zone: str,
        avoided: Iterable[Lifetime],
        tie_breaker: float,
    ) -> Target | None:
        """
        Return the target for a call.

        :param drawn: a number from 0 to 1 that decides between equals.
        """
        avoiding = set(avoided)
        able = [each for each in targets if each.lifetime not in avoiding]
        if not able:
            return None
        turn = int(tie_breaker * len(able))
        turned = able[turn:] + able[:turn]
        return min(turned, key=lambda target: self._load(target, zone))

    def _load(self, target: Target, zone: str) -> float:
        record = self._records.get(target.lifetime, ReplicaRecord())
        away = 0 if target.zone == zone else REMOTE_ZONE_LOAD_CALLS
        failing = (
            max(0, record.failures - TOLERATED_FAILURE_SHARE)
            * FAILURE_LOAD_CALLS
        )
        return record.in_flight + away + failing

    def _of(self, lifetime: Lifetime) -> ReplicaRecord:
        return self._records.setdefault(lifetime, ReplicaRecord())
