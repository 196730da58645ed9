"""
Tests of reading the platform's settings file.
"""

from unittest import TestCase

from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.platform.node_settings import read_settings

FILE = """
node_name=edge-1
zone=shah-alam
region=klang-valley
zones.shah-alam=klang-valley
zones.petaling=klang-valley
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
listen.control=10.1.0.40:8229
listen.directory=10.1.0.40:8224
internal_ports=7340,7355
seeds=10.1.0.40:8229,10.2.0.29:8229
bounds.grace_s=8
bounds.drain_ms=2000
bounds.ttl_max_s=5
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=198
platform.address=10.200.1.7:8223
platform.ttl_min_ms=1000
something.new=1
"""


class TestSettingsFile(TestCase):
    def test_reads_all_gateway_settings(self):
        settings = read_settings(FILE)
        self.assertIsInstance(settings, GatewaySettings)
        self.assertEqual(settings.listening.front, Address('10.1.0.40', 8227))
        self.assertEqual(settings.gossip, Address('10.1.0.40', 7340))
        self.assertEqual(len(settings.seeds), 2)
        self.assertEqual(settings.regions['petaling'], 'klang-valley')
        self.assertEqual(settings.bounds.drain_s, 2)

    def test_reads_whether_the_system_starts_for_the_first_time(self):
        for line, is_first in (('', False), ('bootstrap=true', True)):
            with self.subTest(line=line):
                settings = read_settings(FILE + line)
                self.assertIs(settings.is_first_start, is_first)

    def test_reports_all_findings_together(self):
        broken = FILE.replace('listen.ready=10.1.0.40:8220', '')
        broken = broken.replace('internal_ports=7340,7355', 'internal_ports=x')
        broken = broken.replace('=10.200.1.7:8223', '=nowhere')
        findings = read_settings(broken)
        self.assertEqual(
            {finding.place for finding in findings},
            {'listen.ready', 'internal_ports', 'platform.address'},
        )

    def test_empty_file_reports_all_required_fields(self):
        self.assertGreater(len(read_settings('')), 10)
