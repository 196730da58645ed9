"""
Splits the chunks of a server-sent event stream into complete events.
"""

ID_FIELD = b'id:'
EVENT_DELIMITERS = (b'\n\n', b'\r\n\r\n', b'\r\r')
MAX_DELIMITER_BYTES = max(map(len, EVENT_DELIMITERS))


class EventBuffer:
    """
    Buffers the bytes of an event that is not complete yet.

    :ivar last_id: id of the last complete event that has one.
    :ivar event_count: number of complete events with an id.
    """

    def __init__(self) -> None:
        self._remainder = bytearray()
        self.last_id = ''
        self.event_count = 0

    @property
    def remainder(self) -> bytes:
        """
        Return the bytes after the last complete event.
        """
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """
        Return the length of the remainder.
        """
        return len(self._remainder)

    def feed(self, data: bytes) -> bytes:
        """
        Add a chunk.

        :returns: the bytes of the events that are complete now.
        """
        # A delimiter may have begun in an earlier chunk.
        searched = max(0, len(self._remainder) - MAX_DELIMITER_BYTES)
        self._remainder += data
        end = max(
            _end_of_last(self._remainder, delimiter, searched)
            for delimiter in EVENT_DELIMITERS
        )
        complete = bytes(self._remainder[:end])
        del self._remainder[:end]
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                self.event_count += 1
        return complete

    def restore_remainder(self, remainder: bytes) -> None:
        """
        Replace the bytes of an incomplete event by those of another answer.
        """
        self._remainder = bytearray(remainder)


def count_events(data: bytes) -> int:
    """
    Return how many events end in a part of a stream.
    """
    return sum(map(data.count, EVENT_DELIMITERS))


def _end_of_last(data: bytearray, delimiter: bytes, start: int) -> int:
    found = data.rfind(delimiter, start)
    return found + len(delimiter) if found >= 0 else 0
