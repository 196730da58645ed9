"""
Targets that are gone, for entries that come back with an older copy.
"""

from mallowcrank.gateway.targets import Target

MEMORY_S = 60  # a copy of the store is some seconds old


class GoneTargets:
    """
    The targets that went recently, as they were last known.
    """

    def __init__(self) -> None:
        self._gone: dict[str, tuple[Target, float]] = {}

    def record(self, target: Target, now: float) -> None:
        """
        Record that a target is gone.

        :param now: steady time, in seconds.
        """
        self._gone = {
            identity: (gone, gone_at)
            for identity, (gone, gone_at) in self._gone.items()
            if now - gone_at < MEMORY_S
        }
        self._gone[target.identity] = (target, now)

    def is_outdated(self, target: Target, known: Target | None) -> bool:
        """
        Return whether an entry was written before what is known of its target.

        :param known: the target as known now; `None` if it isn't known.
        """
        gone, _ = self._gone.get(target.identity, (None, 0))
        if known is None and gone and gone.lifetime == target.lifetime:
            return target.writes <= gone.writes
        if known is None or known.lifetime != target.lifetime:
            return False
        is_leaving_undone = known.leaving and not target.leaving
        return target.writes < known.writes or (
            is_leaving_undone and target.writes == known.writes
        )
