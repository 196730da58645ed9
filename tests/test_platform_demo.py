"""
The demo of the users' platform.
"""

import contextlib
import io
from unittest import TestCase

from scripts.platform_demo import main


class TestPlatformDemo(TestCase):
    def test_demo_serves_all_and_stops_gracefully(self):
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            status = main()
        said = printed.getvalue()
        self.assertEqual(status, 0, said)
        self.assertIn('stream: 200, whole', said)
        self.assertIn('stream cut midway: 200, whole', said)
        self.assertIn('gateway stopped: ready False', said)
        self.assertIn('failed: none', said)
