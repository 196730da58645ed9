"""
Frames: reassembly, key rotation, and rejection of forged ones.
"""

from unittest import TestCase

from mallowcrank.wire import BadFrameError, FrameReader, KeyRing, pack_frame

OLD = KeyRing(1, {1: b'old'})
BOTH = KeyRing(2, {2: b'new', 1: b'old'})
NEW = KeyRing(2, {2: b'new'})


class TestFrames(TestCase):
    def test_frame_received_in_pieces(self):
        frame = pack_frame({'type': 'beat', 'n': 7}, OLD)
        reader = FrameReader(OLD)
        self.assertEqual(list(reader.feed(frame[:5])), [])
        self.assertEqual(
            list(reader.feed(frame[5:])), [{'type': 'beat', 'n': 7}]
        )

    def test_both_keys_are_valid_during_rotation(self):
        frame = pack_frame({'type': 'beat'}, OLD)
        self.assertEqual(
            list(FrameReader(BOTH).feed(frame)), [{'type': 'beat'}]
        )

    def test_frame_signed_with_a_removed_key_is_rejected(self):
        frame = pack_frame({'type': 'beat'}, OLD)
        with self.assertRaisesRegex(BadFrameError, 'not authentic'):
            list(FrameReader(NEW).feed(frame))

    def test_modified_frame_is_rejected(self):
        frame = bytearray(pack_frame({'type': 'beat'}, OLD))
        frame[-1] ^= 1
        with self.assertRaises(BadFrameError):
            list(FrameReader(OLD).feed(bytes(frame)))
