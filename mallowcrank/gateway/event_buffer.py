"""
Whole events out of the pieces of an event stream.
"""

ID_FIELD = b'id:'
ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


class EventBuffer:
    """
    Keeps what is not yet a whole event.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.last_id = ''
        self.event_count = 0

    @property
    def remainder(self) -> bytes:
        """
        Return the bytes after the last whole event.
        """
        return self._rest

    def feed(self, raw: bytes) -> bytes:
        """
        Take in a piece.

        :returns: the whole events that are there now.
        """
        self._rest += raw
        end = max(_after(self._rest, mark) for mark in ENDS)
        whole = self._rest[:end]
        self._rest = self._rest[end:]
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                self.event_count += 1
        return whole

    def discard_remainder(self) -> None:
        """
        Forget a part of an event that will not be completed.
        """
        self._rest = b''


def _after(raw: bytes, mark: bytes) -> int:
    found = raw.rfind(mark)
    return found + len(mark) if found >= 0 else 0
