"""
Publishing to agents on real processes, while the log fails.
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
DEAD = '127.0.0.1:1'


class PublishCase(TestCase):
    hosts = 3

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, hosts=self.hosts)
        self.places = self.layout.addresses
        self.layout.start_platform()
        get_json(self.places.log, '/records?from=0&limit=1&wait=0')
        for number in range(self.hosts):
            # The last host never reads the log: it hears all from its peers.
            cut_off = number and number == self.hosts - 1
            log = DEAD if cut_off else self.places.log
            self.layout.start_agent(number, 'a', '--log', log)
        self.flags = (
            '--agents',
            ','.join(self.places.agent_admins),
            '--log',
            self.places.log,
        )
        for admin in self.places.agent_admins:
            get_json(admin, '/admin/status')
        self.first = self.publish(EXAMPLE.read_text(), '--wait')

    def publish(self, text, *words):
        file = self.fleet.folder / f'{threading.get_ident()}.toml'
        file.write_text(text)
        return run_operator('publish', str(file), *self.flags, *words)

    def fault(self, name, **more):
        order = json.dumps({'fault': name, **more}).encode()
        HttpCaller(self.places.log).call('POST', '/control', order)

    def trees(self):
        return [
            get_json(admin, '/admin/settings')['settings']
            for admin in self.places.agent_admins
        ]


class TestPublish(PublishCase):
    def test_one_of_two_racing_operators_wins(self):
        base = get_json(self.places.agent_admins[0], '/admin/status')['version']
        runs = []

        def race(rate):
            text = f'base = {base}\n[organisation]\nrequest_rate = {rate}\n'
            runs.append(self.publish(text, '--wait', '--id', f'op-{rate}'))

        threads = [
            threading.Thread(target=race, args=(rate,)) for rate in (71, 72)
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

    def test_lost_answer_does_not_double_the_record(self):
        self.fault('lose_answer', path='/append', count=1)
        run = self.publish('[organisation]\nstreams = 9\n', '--id', 'once')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        records = get_json(self.places.log, '/records?from=0&limit=500&wait=0')
        found = [
            each for each in records['records'] if each['body']['id'] == 'once'
        ]
        self.assertEqual(len(found), 1)

    def test_publish_goes_through_after_an_outage(self):
        self.fault('outage', seconds=1)
        text = '[organisation]\nstreams = 7\n'
        run = self.publish(text, '--wait', '--timeout', '60')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)

    def test_outage_right_after_the_append_does_not_stop_the_spread(self):
        text = '[organisation]\nstreams = 11\n'
        self.assertEqual(self.publish(text).status, ExitStatus.SUCCESS)
        self.fault('outage')
        run = self.publish(text, '--wait', '--timeout', '60')
        self.assertEqual(run.status, ExitStatus.SUCCESS, run.stderr)
        wait_for(
            self.places.agent_admins[2],
            '/admin/settings',
            lambda page: (
                page['settings']['organisation.streams']['value'] == 11
            ),
        )

    def test_agent_restarted_with_an_empty_log_asks_its_peers(self):
        status = get_json(self.places.agent_admins[0], '/admin/status')
        self.fault('forget', offset=status['through'] + 1000)
        self.fleet.get('agent-0').kill()
        self.layout.start_agent(0, 'a')
        wait_for(
            self.places.agent_admins[0],
            '/admin/status',
            lambda fresh: fresh['version'] == status['version'],
        )


class TestAllLost(PublishCase):
    hosts = 1

    def test_nothing_is_invented_and_a_restore_brings_it_back(self):
        self.fault('forget', offset=1000)
        self.fleet.get('agent-0').kill()
        self.layout.start_agent(0, 'a')
        admin = self.places.agent_admins[0]
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

    def test_snapshot_in_time_lets_a_late_agent_start(self):
        admin = self.places.agent_admins[0]
        text = '[platform]\nlog_retention_s = 4\n'
        version = self.publish_version(text)
        page = wait_for(
            self.places.log,
            '/records?from=0&limit=500&wait=0',
            lambda read: read['records'][-1]['body']['type'] == 'snapshot',
        )
        self.fault('forget', offset=page['records'][-1]['offset'])
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
        return get_json(self.places.agent_admins[0], '/admin/status')['version']
