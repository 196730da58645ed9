"""
Guards against a platform demo that loses requests or stops with an error.

An interrupted stream must be completed on another replica.
"""

import contextlib
import io
from unittest import TestCase

from scripts.platform_demo import main


class TestPlatformDemo(TestCase):
    def test_demo_serves_all_and_stops_gracefully(self):
        with contextlib.redirect_stdout(io.StringIO()) as stdout:
            status = main()
        output = stdout.getvalue()
        self.assertEqual(status, 0, output)
        self.assertIn('stream: 200, whole', output)
        self.assertIn('stream cut midway: 200, whole', output)
        self.assertIn('gateway stopped: ready False', output)
        self.assertIn('failed: none', output)
