"""
A network in virtual time, which can be partitioned between any two ends.
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
class ResourceUsage:
    """
    Resources that one agent has used.

    :param cpu_s: processor seconds in state machines, codecs and frames.
    :param sent: bytes.
    :param received: bytes.
    :param probes: number of probes started.
    :param frames: bytes sent, by type of message.
    """

    cpu_s: float = 0
    sent: int = 0
    received: int = 0
    probes: int = 0
    frames: Counter[str] = field(default_factory=Counter)

    def measure(self, action: Callable[[], object]) -> object:
        """
        Run an action and add its processor time.
        """
        started = time.thread_time()
        outcome = action()
        self.cpu_s += time.thread_time() - started
        return outcome


@dataclass(frozen=True)
class ConnectionEnd:
    """
    One end of a connection.

    :param owner: name of the agent.
    :param number: number of the link, unique on the network.
    """

    owner: str
    number: int


class VirtualNetwork:
    """
    Connections that carry frames in the product's own encoding.

    :param deliver: called with the receiving end and the message.
    """

    def __init__(
        self,
        clock: VirtualTime,
        deliver: Callable[[ConnectionEnd, Message], None],
    ) -> None:
        self._clock = clock
        self._deliver = deliver
        self._ends: dict[ConnectionEnd, ConnectionEnd] = {}
        self._readers: dict[ConnectionEnd, FrameReader] = {}
        self.usage: dict[str, ResourceUsage] = {}
        self.stopped: set[str] = set()
        self._silenced: set[ConnectionEnd] = set()
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
        Drop all messages on the open connections; new ones work.
        """
        self._silenced.update(self._ends)

    def connect(
        self, one: str, other: str
    ) -> tuple[ConnectionEnd, ConnectionEnd]:
        """
        Open a connection.
        """
        near = ConnectionEnd(one, self._clock.next_number())
        far = ConnectionEnd(other, self._clock.next_number())
        self._ends.update({near: far, far: near})
        for end in (near, far):
            self._readers[end] = FrameReader(KEYS)
        return near, far

    def close(self, end: ConnectionEnd) -> ConnectionEnd | None:
        """
        Close a connection.

        :returns: the other end if it is notified, else `None`.
        """
        other = self._ends.pop(end, None)
        if other is None:
            return None
        self._ends.pop(other, None)
        is_notified = end not in self._silenced and self.reaches(
            end.owner, other.owner
        )
        return other if is_notified else None

    def send(self, end: ConnectionEnd, message: Message) -> None:
        """
        Send a message, which is lost if the ends can't reach each other.
        """
        usage = self.usage[end.owner]
        frame = usage.measure(lambda: _pack(message))
        usage.sent += len(frame)
        usage.frames[type(message).__name__] += len(frame)
        other = self._ends.get(end)
        if end in self._silenced:
            return
        if other is not None and self.reaches(end.owner, other.owner):
            self._clock.call_later(
                LATENCY_S, lambda: self._arrive(other, frame)
            )

    def _arrive(self, end: ConnectionEnd, frame: bytes) -> None:
        if end not in self._ends or end.owner in self.stopped:
            return
        usage = self.usage[end.owner]
        usage.received += len(frame)
        reader = self._readers[end]
        for message in usage.measure(partial(_unpack, reader, frame)):
            self._deliver(end, message)


def _never(_one: str, _other: str) -> bool:
    return False


def _pack(message: Message) -> bytes:
    return pack_frame(to_body(message), KEYS)


def _unpack(reader: FrameReader, frame: bytes) -> list[Message]:
    return [from_body(body) for body in reader.feed(frame)]
