"""
Publishing to agent processes while the platform's log fails.

Guards against lost and duplicated records, and invented settings.
"""

import json
import threading
from pathlib import Path
from unittest import TestCase

from mallowcrank.calls import HttpCaller
from mallowcrank.status import ExitStatus
from scripts.fleet import Fleet, get_json, wait_for
from scripts.layout import Layout
from tests.utils.operator_run import run_operator

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'topi-seri.toml'
CLOSED_ADDRESS = '127.0.0.1:1'


class PublishCase(TestCase):
    hosts = 3

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, hosts=self.hosts)
        self.endpoints = self.layout.addresses
        self.layout.start_platform()
        get_json(self.endpoints.log, '/records?from=0&limit=1&wait=0')
        for number in range(self.hosts):
            # The last of several hosts can't read the log, only ask its peers.
            is_cut_off = number and number == self.hosts - 1
            log = CLOSED_ADDRESS if is_cut_off else self.endpoints.log
            self.layout.start_agent(number, 'a', '--log', log)
        self.flags = (
            '--agents',
            ','.join(self.endpoints.agent_admins),
            '--log',
            self.endpoints.log,
        )
        for admin in self.endpoints.agent_admins:
            get_json(admin, '/admin/status')
        self.first = self.publish(EXAMPLE.read_text(), '--wait')

    def publish(self, text, *arguments):
        file = self.fleet.folder / f'{threading.get_ident()}.toml'
        file.write_text(text)
        return run_operator('publish', str(file), *self.flags, *arguments)

    def inject_fault(self, name, **options):
        request = json.dumps({'fault': name, **options}).encode()
        HttpCaller(self.endpoints.log).call('POST', '/control', request)

    def trees(self):
        return [
            get_json(admin, '/admin/settings')['settings']
            for admin in self.endpoints.agent_admins
        ]


class TestPublish(PublishCase):
    def test_one_of_two_concurrent_publications_wins(self):
        base = get_json(self.endpoints.agent_admins[0], '/admin/status')[
            'version'
        ]
        runs = []

        def publish_rate(rate):
            text = f'base = {base}\n[organisation]\nrequest_rate = {rate}\n'
            runs.append(self.publish(text, '--wait', '--id', f'op-{rate}'))

        threads = [
            threading.Thread(target=publish_rate, args=(rate,))
            for rate in (71, 72)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won, lost = sorted(runs, key=lambda run: run.status)
        self.assertEqual(
            (won.status, lost.status), (ExitStatus.SUCCESS, ExitStatus.CONFLICT)
        )
        entry = self.trees()[0]['organisation.request_rate']
        self.assertIn(f'op-{entry["value"]}', lost.stdout + lost.stderr)
        self.assertEqual(self.trees()[0], self.trees()[2])

    def test_lost_response_does_not_duplicate_the_record(self):
        self.inject_fault('lose_answer', path='/append', count=1)
        run = self.publish('[organisation]\nstreams = 9\n', '--id', 'once')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        records = get_json(
            self.endpoints.log, '/records?from=0&limit=500&wait=0'
        )
        found = [
            each for each in records['records'] if each['body']['id'] == 'once'
        ]
        self.assertEqual(len(found), 1)

    def test_publish_succeeds_after_an_outage(self):
        self.inject_fault('outage', seconds=1)
        text = '[organisation]\nstreams = 7\n'
        run = self.publish(text, '--wait', '--timeout', '60')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)

    def test_record_spreads_despite_an_outage_after_its_append(self):
        text = '[organisation]\nstreams = 11\n'
        self.assertEqual(self.publish(text).status, ExitStatus.SUCCESS)
        self.inject_fault('outage')
        run = self.publish(text, '--wait', '--timeout', '60')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        wait_for(
            self.endpoints.agent_admins[2],
            '/admin/settings',
            lambda page: (
                page['settings']['organisation.streams']['value'] == 11
            ),
        )

    def test_agent_restarted_with_an_empty_log_fetches_from_peers(self):
        status = get_json(self.endpoints.agent_admins[0], '/admin/status')
        self.inject_fault('forget', offset=status['through'] + 1000)
        self.fleet.get('agent-0').kill()
        self.layout.start_agent(0, 'a')
        wait_for(
            self.endpoints.agent_admins[0],
            '/admin/status',
            lambda fresh: fresh['version'] == status['version'],
        )


class TestLostLog(PublishCase):
    hosts = 1

    def test_lost_settings_stay_unset_until_a_restore(self):
        self.inject_fault('forget', offset=1000)
        self.fleet.get('agent-0').kill()
        self.layout.start_agent(0, 'a')
        admin = self.endpoints.agent_admins[0]
        status = wait_for(
            admin, '/admin/status', lambda fresh: fresh['missing'] > 0
        )
        self.assertEqual(status['version'], -1)
        refused = self.publish(EXAMPLE.read_text())
        self.assertEqual(refused.status, ExitStatus.ERROR)
        self.assertIn('--restore', refused.stderr)
        run = self.publish(EXAMPLE.read_text(), '--restore', '--wait')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        again = self.publish(EXAMPLE.read_text(), '--restore')
        self.assertEqual(again.status, ExitStatus.REFUSED)

    def test_agent_starts_from_a_snapshot_after_records_expired(self):
        admin = self.endpoints.agent_admins[0]
        text = '[platform]\nlog_retention_s = 4\n'
        version = self.publish_version(text)
        page = wait_for(
            self.endpoints.log,
            '/records?from=0&limit=500&wait=0',
            lambda read: read['records'][-1]['body']['type'] == 'snapshot',
        )
        self.inject_fault('forget', offset=page['records'][-1]['offset'])
        self.fleet.get('agent-0').kill()
        self.layout.start_agent(0, 'a')
        wait_for(
            admin,
            '/admin/status',
            lambda fresh: fresh['version'] == version and not fresh['missing'],
        )

    def publish_version(self, text):
        run = self.publish(text, '--wait')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        return get_json(self.endpoints.agent_admins[0], '/admin/status')[
            'version'
        ]
