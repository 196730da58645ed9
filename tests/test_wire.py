"""
Frames between the system's own processes.
"""

from unittest import TestCase

from mallowcrank.wire import BadFrameError, FrameReader, KeyRing, pack_frame

OLD = KeyRing(1, {1: b'old'})
BOTH = KeyRing(2, {2: b'new', 1: b'old'})
NEW = KeyRing(2, {2: b'new'})


class TestFrames(TestCase):
    def test_frame_in_pieces(self):
        frame = pack_frame({'type': 'beat', 'n': 7}, OLD)
        reader = FrameReader(OLD)
        self.assertEqual(list(reader.feed(frame[:5])), [])
        self.assertEqual(
            list(reader.feed(frame[5:])), [{'type': 'beat', 'n': 7}]
        )

    def test_two_keys_in_force_while_they_rotate(self):
        frame = pack_frame({'type': 'beat'}, OLD)
        self.assertEqual(
            list(FrameReader(BOTH).feed(frame)), [{'type': 'beat'}]
        )

    def test_withdrawn_key_is_refused(self):
        frame = pack_frame({'type': 'beat'}, OLD)
        with self.assertRaisesRegex(BadFrameError, 'not authentic'):
            list(FrameReader(NEW).feed(frame))

    def test_changed_byte_is_refused(self):
        frame = bytearray(pack_frame({'type': 'beat'}, OLD))
        frame[-1] ^= 1
        with self.assertRaises(BadFrameError):
            list(FrameReader(OLD).feed(bytes(frame)))
