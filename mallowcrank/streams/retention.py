"""
Bound on the stage inputs that a router retains for rebuilding a failed stage.
"""

from dataclasses import dataclass

from mallowcrank.streams.state import StreamState


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """
    Bound on retained inputs; docs/REQUESTS.md has the measurements.

    Token ids and the inputs of steps in flight are always retained.

    :param max_bytes: bound for all streams of the process.
    :param input_bytes: size of one input of one stage.
    """

    max_bytes: int = 64 * 1024 * 1024
    input_bytes: int = 48


RETENTION_LIMITS = RetentionLimits()


class InputCounter:
    """
    Counts the inputs that streams retain.
    """

    def __init__(self, limits: RetentionLimits = RETENTION_LIMITS) -> None:
        self._limits = limits
        self._counts: dict[str, int] = {}
        self._total = 0

    @property
    def is_exceeded(self) -> bool:
        """
        Tell whether the bound is exceeded.
        """
        return self._total * self._limits.input_bytes > self._limits.max_bytes

    def set_count(self, stream: str, count: int) -> None:
        """
        Set the number of inputs that a stream retains.
        """
        self._total += count - self._counts.get(stream, 0)
        self._counts[stream] = count

    def remove(self, stream: str) -> None:
        """
        Remove a stream from the count.
        """
        self._total -= self._counts.pop(stream, 0)


def count_retained(state: StreamState) -> int:
    """
    Return the number of inputs that a stream retains besides its token ids.
    """
    return sum(map(len, state.inputs.values())) - len(state.inputs.get(0, ()))
