"""
Validation of process settings: invalid flags must all be reported at once.
"""

from unittest import TestCase

from mallowcrank.settings import Checker


class TestChecker(TestCase):
    def test_all_findings_are_reported_together(self):
        checker = Checker()
        checker.address('--listen', 'example:http')
        checker.number('--keep', 'soon', 0, 60)
        checker.name('--host', '')
        self.assertEqual(
            [finding.place for finding in checker.findings],
            ['--listen', '--keep', '--host'],
        )

    def test_number_out_of_range_names_the_range(self):
        checker = Checker()
        checker.number('--keep', '61', 0, 60)
        self.assertIn('from 0 to 60', str(checker.findings[0]))

    def test_first_peer_key_signs(self):
        checker = Checker()
        ring = checker.keys('--peer-keys', '2:beef,1:cafe')
        self.assertEqual(ring.current, 2)
        self.assertEqual(ring.keys[1], b'\xca\xfe')
        self.assertEqual(checker.findings, ())
