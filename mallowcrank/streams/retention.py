"""
How much of the stages' inputs a router keeps, for running one stage again.
"""

from dataclasses import dataclass

from mallowcrank.streams.state import StreamState


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """
    The bound on kept inputs; docs/REQUESTS.md has the measurement.

    Token ids, and what a step in flight carries, are held in any case.

    :param size: bytes for all streams of the process.
    :param input_size: bytes of one input of one stage.
    """

    max_bytes: int = 64 * 1024 * 1024
    input_bytes: int = 48


RETENTION_LIMITS = RetentionLimits()


class InputCounter:
    """
    Counts the inputs that streams keep.
    """

    def __init__(self, limits: RetentionLimits = RETENTION_LIMITS) -> None:
        self._limits = limits
        self._counts: dict[str, int] = {}
        self._total = 0

    @property
    def is_exceeded(self) -> bool:
        """
        Tell whether the bound is passed.
        """
        return self._total * self._limits.input_bytes > self._limits.max_bytes

    def set_count(self, stream: str, count: int) -> None:
        """
        Take in how many inputs a stream keeps now.
        """
        self._total += count - self._counts.get(stream, 0)
        self._counts[stream] = count

    def remove(self, stream: str) -> None:
        """
        Count a stream no longer.
        """
        self._total -= self._counts.pop(stream, 0)


def count_retained(state: StreamState) -> int:
    """
    Return the inputs that a stream keeps beside its token ids.
    """
    return sum(map(len, state.inputs.values())) - len(state.inputs.get(0, ()))
