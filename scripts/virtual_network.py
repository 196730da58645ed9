"""
A network in virtual time, on which two ends can be cut off from each other.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mallowcrank.membership.messages import Message, from_body, to_body
from mallowcrank.wire import FrameReader, KeyRing, pack_frame
from scripts.virtual_time import VirtualTime

LATENCY_S = 0.001
KEYS = KeyRing(1, {1: b'virtual'})


@dataclass
class Used:
    """
    What one agent has used.

    :param cpu_s: seconds in state machines, codecs and frames.
    :param frames: bytes sent, by type of message.
    """

    cpu_s: float = 0
    sent: int = 0
    received: int = 0
    probes: int = 0
    frames: Counter[str] = field(default_factory=Counter)

    def timed(self, step: Callable[[], object]) -> object:
        """
        Do something and add its processor time.
        """
        started = time.thread_time()
        outcome = step()
        self.cpu_s += time.thread_time() - started
        return outcome


@dataclass(frozen=True)
class Wire:
    """
    One end of a connection.
    """

    owner: str
    number: int


class VirtualNetwork:
    """
    Connections that carry really packed frames.

    :param deliver: takes a message at an end.
    """

    def __init__(
        self, clock: VirtualTime, deliver: Callable[[Wire, Message], None]
    ) -> None:
        self._clock = clock
        self._deliver = deliver
        self._ends: dict[Wire, Wire] = {}
        self._readers: dict[Wire, FrameReader] = {}
        self.used: dict[str, Used] = {}
        self.stopped: set[str] = set()
        self._silent: set[Wire] = set()
        self.is_cut: Callable[[str, str], bool] = _never

    def reaches(self, one: str, other: str) -> bool:
        """
        Tell whether two ends reach each other.
        """
        if one in self.stopped or other in self.stopped:
            return False
        return not (self.is_cut(one, other) or self.is_cut(other, one))

    def silence(self) -> None:
        """
        Let all open connections go silent; new ones work.
        """
        self._silent.update(self._ends)

    def connect(self, one: str, other: str) -> tuple[Wire, Wire]:
        """
        Open a connection.
        """
        near = Wire(one, self._clock.number())
        far = Wire(other, self._clock.number())
        self._ends.update({near: far, far: near})
        for end in (near, far):
            self._readers[end] = FrameReader(KEYS)
        return near, far

    def close(self, end: Wire) -> Wire | None:
        """
        Close a connection; return the other end if it hears of it.
        """
        other = self._ends.pop(end, None)
        if other is None:
            return None
        self._ends.pop(other, None)
        hears = end not in self._silent and self.reaches(end.owner, other.owner)
        return other if hears else None

    def send(self, end: Wire, message: Message) -> None:
        """
        Send a message, which is lost where the ends are cut off.
        """
        used = self.used[end.owner]
        frame = used.timed(lambda: _pack(message))
        used.sent += len(frame)
        used.frames[type(message).__name__] += len(frame)
        other = self._ends.get(end)
        if end in self._silent:
            return
        if other is not None and self.reaches(end.owner, other.owner):
            self._clock.later(LATENCY_S, lambda: self._arrive(other, frame))

    def _arrive(self, end: Wire, frame: bytes) -> None:
        if end not in self._ends or end.owner in self.stopped:
            return
        used = self.used[end.owner]
        used.received += len(frame)
        reader = self._readers[end]
        for message in used.timed(partial(_unpack, reader, frame)):
            self._deliver(end, message)


def _never(_one: str, _other: str) -> bool:
    return False


def _pack(message: Message) -> bytes:
    return pack_frame(to_body(message), KEYS)


def _unpack(reader: FrameReader, frame: bytes) -> list[Message]:
    return [from_body(body) for body in reader.feed(frame)]
