"""
Fake transport that records what is written.
"""


class FakeTransport:
    """
    Replaces the socket transport of an asyncio protocol.
    """

    def __init__(self):
        self.written = b''
        self.is_closed = False
        self.is_aborted = False
        self.is_paused = False
        self.buffered = 0

    def write(self, raw):
        if not self.is_closed:
            self.written += raw

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = True
        self.is_aborted = True

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_write_buffer_size(self):
        return self.buffered

    def get_extra_info(self, name):
        """
        Return nothing: there is no socket.
        """
