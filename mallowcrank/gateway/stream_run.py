"""
One send of a stream, with the answer to it so far.
"""

from dataclasses import dataclass, field
from http import HTTPStatus

from mallowcrank.chains.paths import ChainPath
from mallowcrank.gateway.event_buffer import count_events
from mallowcrank.gateway.proxies import Proxy
from mallowcrank.gateway.target_channel import (
    HIGH_WATER_BYTES,
    BodyChunk,
    ChannelBroken,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
)

NO_PATH = ChainPath((), 0, 0)


@dataclass(slots=True, eq=False)
class StreamRun:
    """
    A run of a stream, on a path or behind another gateway.

    :param channel: over which it is sent; none before.
    :param sent_at: steady time, in seconds.
    :param remainder: bytes of its last event, which isn't complete yet.
    :param is_accepted: whether its engines have accepted it.
    :param last_event_at: steady time of its last event, in seconds; 0 before.
    """

    path: ChainPath = NO_PATH
    proxy: Proxy | None = None
    channel: TargetChannel | None = None
    sent_at: float = 0
    head: ResponseHead | None = None
    body: list[bytes] = field(default_factory=list)
    remainder: bytes = b''
    is_accepted: bool = False
    last_event_at: float = 0

    @property
    def is_success(self) -> bool:
        """
        Return whether its answer is a success, as far as it has come.
        """
        return self.head is not None and begins_stream(self.head)

    def goes_on(self, min_events: int) -> bool:
        """
        Return whether more of its answer has come, which isn't an error.

        :param min_events: number of events, unless the answer is complete.
        """
        unread = self.channel.unread if self.channel else ()
        if not unread or isinstance(unread[-1], ChannelBroken):
            return False
        head = unread[0] if isinstance(unread[0], ResponseHead) else self.head
        if head is None or not begins_stream(head):
            return False
        body = b''.join(
            each.data for each in unread if isinstance(each, BodyChunk)
        )
        # No more is read of a run than that.
        is_full = len(body) >= HIGH_WATER_BYTES
        is_complete = isinstance(unread[-1], ResponseEnd)
        return is_full or is_complete or count_events(body) >= min_events


def begins_stream(head: ResponseHead) -> bool:
    """
    Return whether an answer is a stream of events.
    """
    return head.status == HTTPStatus.OK
