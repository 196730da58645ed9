"""
The connections of one agent, as its state machine sees them.
"""

from dataclasses import dataclass, field

from mallowcrank.membership.facts import Fact
from mallowcrank.membership.keys import Key
from mallowcrank.membership.ranks import is_newer

HEARTBEAT_INTERVAL_S = 1  # between heartbeats on a connection
LINK_TIMEOUT_S = 2.5  # without a byte until a connection is replaced
HELLO_TIMEOUT_S = 1  # until a new connection has to be greeted
ASK_TIMEOUT_S = 10  # until an accepted one, that only asks, has to be over
STABLE_BEATS = 3  # with the same two digests until they are compared
FORCED_COMPARE_S = (
    60  # of differing digests until they are compared in any case
)
MIN_COMPARE_INTERVAL_S = 15  # between comparisons on one connection


@dataclass(slots=True)
class Link:
    """
    One connection.

    :param address: where it was opened to, or an empty string for one that
        was accepted.
    :param opened: steady time in seconds, as are all times here.
    :param peer: the name of the other end, once it greeted.
    :param pending: facts that the other end has yet to be told.
    """

    number: int
    address: str
    opened_at: float
    last_received: float
    last_heartbeat: float
    peer: str = ''
    pending: dict[Key, Fact] = field(default_factory=dict)
    last_roots: tuple[int, int] = (0, 0)
    stable_beats: int = 0
    last_agreed: float = 0
    last_compared: float = 0

    @property
    def is_outgoing(self) -> bool:
        """
        Tell whether this end opened it.
        """
        return bool(self.address)

    def is_silent(self, steady: float) -> bool:
        """
        Tell whether nothing was heard for too long.
        """
        timeout_s = LINK_TIMEOUT_S
        if not self.peer:
            timeout_s = HELLO_TIMEOUT_S if self.is_outgoing else ASK_TIMEOUT_S
        return steady - self.last_received > timeout_s

    def queue(self, key: Key, fact: Fact) -> None:
        """
        Have a fact sent with the next flush.
        """
        self.pending[key] = fact

    def unqueue(self, key: Key, fact: Fact) -> None:
        """
        The other end knows this fact; don't send it the same or an older one.
        """
        queued = self.pending.get(key)
        if queued is not None and not is_newer(queued, fact):
            self.pending.pop(key)

    def compare(self, local_root: int, remote_root: int, steady: float) -> bool:
        """
        Take in a heartbeat's digest.

        :returns: whether the digests' buckets should be compared: where both
            stay as they are and differ, something was missed.
        """
        if local_root == remote_root:
            self.last_agreed = steady
            self.stable_beats = 0
            return False
        is_unchanged = self.last_roots == (local_root, remote_root)
        self.stable_beats = self.stable_beats + 1 if is_unchanged else 1
        self.last_roots = (local_root, remote_root)
        is_stable = self.stable_beats >= STABLE_BEATS
        is_overdue = steady - self.last_agreed > FORCED_COMPARE_S
        if (
            not (is_stable or is_overdue)
            or steady - self.last_compared < MIN_COMPARE_INTERVAL_S
        ):
            return False
        self.last_compared = steady
        return True
