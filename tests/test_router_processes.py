"""
A router as a process, with stand-in engines and services that fail.
"""

import json
import threading
import time
from dataclasses import replace
from unittest import TestCase

from mallowcrank.load.evidence import Evidence
from mallowcrank.load.judge import judge
from mallowcrank.load.records import CallKind, CallRecord, Outcome, Plan, Try
from mallowcrank.load.trace import read_traces
from mallowcrank.standins.arithmetic import expected_answer
from mallowcrank.status import ExitStatus
from mallowcrank.view import Peer, Target, TargetKind
from scripts.fleet import Fleet, get_json, post_json
from scripts.layout import Engine, Layout, Service
from tests.utils.local_router import (
    WORKSPACE,
    FakeAgent,
    make_view,
    send,
    service,
    text_of,
    wait_until,
)

LAYERS = 12
TOKENS = 40
STOCK = service('stock', timeout_s=20)
ALERT = service(
    'alert', repeatable=True, urgent=True, silence_s=0.08, timeout_s=20
)


class TestRouterProcesses(TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, 2)
        self.targets = {}
        self.view = make_view((), (STOCK, ALERT))
        self.agent = FakeAgent(self.view)
        self.addCleanup(self.agent.stop)

    # Start

    def start_engines(self, **ranges):
        for name, layers in ranges.items():
            engine = Engine(name, layers, 10, 'a', LAYERS, serves='m')
            self.layout.start_engine(engine)
            first, last = map(int, layers.split('-'))
            self.add_target(
                name, 'm', TargetKind.ENGINE, first_layer=first, last_layer=last
            )

    def start_service(self, name, serves, work_ms=2):
        self.layout.start_service(Service(name, serves, 'a', work_ms))
        self.add_target(name, serves, TargetKind.SERVICE)

    def add_target(self, name, serves, kind, **held):
        address = self.layout.targets[name]
        status = get_json(address, '/status')
        self.targets[name] = Target(
            name, kind, address, 'a', serves, status['incarnation'], **held
        )

    def start_router(self, number=0):
        view = make_view(self.targets.values(), (STOCK, ALERT))
        view = replace(
            view, models={'m': replace(view.models['m'], layers=LAYERS)}
        )
        self.agent.send_view(replace(view, peers=self.view.peers))
        flags = '--feed', self.agent.address, '--keep', '1', '--peer-keys', ''
        process = self.layout.start_router(number, 'a', *flags)
        admin = self.layout.addresses.router_admins[number]
        wait_until(lambda: get_json(admin, '/admin/status')['version'] >= 0)
        return process, self.layout.addresses.routers[number]

    # Calls

    def chat(self, router, prompt='hat', stream=True, **headers):
        body = {
            'model': 'm', 'prompt': prompt, 'max_tokens': TOKENS, 'stream': stream
        }  # fmt: skip
        return send(router, 'POST', '/v1/completions', body, **headers)

    def stock(self, router, key, body=b'bolt', **headers):
        path = '/v1/services/stock/bolt'
        return send(router, 'POST', path, body, idempotency_key=key, **headers)

    def key(self, router):
        prefix = get_json(router, '/v1/addresses')['key_prefix']
        return f'{prefix}a'

    def in_thread(self, call, *given, **headers):
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(call(*given, **headers))
        )
        thread.start()
        self.addCleanup(thread.join)
        return thread, answers

    def fault(self, target, **order):
        post_json(self.targets[target].address, '/control', order)

    # Evidence

    def lines(self, event):
        found = []
        for path in self.fleet.folder.glob('*.trace'):
            for line in path.read_text().splitlines():
                if line.endswith('}') and json.loads(line)['event'] == event:
                    found.append(json.loads(line))
        return found

    def wait_steps(self, count):
        wait_until(lambda: len(self.lines('step')) >= count)

    def check_streams(self, *answered):
        """
        Check answers of prompts by the traces, as the load tool's judge does.
        """
        records = [
            self.record(number, prompt, response)
            for number, (prompt, response) in enumerate(answered)
        ]
        trace = read_traces(self.fleet.folder.glob('*.trace'))
        verdict = judge(Evidence(records, trace, {'m': LAYERS}))
        self.assertTrue(verdict.is_clean, verdict)

    def record(self, number, prompt, response):
        self.assertEqual(response.status, 200, response.whole)
        text = text_of(response)
        whole = expected_answer(prompt.encode(), LAYERS, TOKENS).decode()
        self.assertEqual(text, whole)
        request = response.headers['x-mallowcrank-request']
        now = time.time()
        return CallRecord(
            plan=Plan(
                number, CallKind.COMPLETION, WORKSPACE, 'm', prompt, TOKENS
            ),
            outcome=Outcome.COMPLETED,
            started=now,
            ended=now,
            tries=(Try(request, '', now, now, 200, 'yes'),),
            answer=text,
            finish='length' if len(text) == TOKENS else 'stop',
            told_tokens=len(text),
            token_times=((now, len(text)),),
        )

    # Streams

    def test_crash_silence_and_crossed_answers_in_mid_stream(self):
        self.start_engines(e1='0-5', e2='6-11', e3='6-11', e4='0-5')
        _, router = self.start_router()
        prompts = [f'hat number {number}' for number in range(4)]
        calls = [self.in_thread(self.chat, router, each) for each in prompts]
        self.wait_steps(40)
        self.fault('e1', fault='cross', count=3)
        self.fault('e4', fault='silence')
        self.wait_steps(90)
        self.fleet.get('e2').kill()
        for thread, _ in calls:
            thread.join()
        answers = [answers[0] for _, answers in calls]
        self.check_streams(*zip(prompts, answers, strict=True))

    def test_graceful_stop_ends_streams_in_flight(self):
        self.start_engines(e1='0-11')
        process, router = self.start_router()
        thread, answers = self.in_thread(self.chat, router)
        self.wait_steps(5)
        process.terminate()
        thread.join()
        self.check_streams(('hat', answers[0]))
        self.assertEqual(process.wait(), ExitStatus.SUCCESS)

    # Calls that may not repeat

    def outcome(self, response):
        error = json.loads(response.whole)['error']
        return error['code'], error['ran']

    def test_target_that_crashes_before_its_answer_is_unknown(self):
        self.start_service('s1', 'stock', work_ms=60_000)
        _, router = self.start_router()
        key = self.key(router)
        thread, answers = self.in_thread(self.stock, router, key)
        wait_until(lambda: self.lines('call'))
        self.fleet.get('s1').kill()
        thread.join()
        again = self.stock(router, key)
        for answer in (answers[0], again):
            self.assertEqual(self.outcome(answer), ('target_failed', 'unknown'))
        self.assertEqual(len(self.lines('call')), 1)

    def test_router_crash_with_a_key_in_flight_and_a_retry_elsewhere(self):
        self.start_service('s1', 'stock', work_ms=500)
        process, first = self.start_router()
        admin = self.layout.addresses.router_admins[0]
        status = get_json(admin, '/admin/status')
        peer = Peer(status['host'], first, 'a', status['incarnation'])
        self.view = replace(self.view, peers={peer.name: peer})
        _, second = self.start_router(1)
        key = self.key(first)
        self.in_thread(self.try_stock, first, key)
        wait_until(lambda: self.lines('call'))
        process.kill()
        retried = self.stock(second, key)
        self.assertEqual(self.outcome(retried), ('keeper_gone', 'unknown'))
        self.assertEqual(len(self.lines('call')), 1)

    def try_stock(self, router, key):
        try:
            return self.stock(router, key)
        except OSError as gone:
            return gone

    def test_paused_router_that_wakes_late_starts_nothing(self):
        self.start_service('s1', 'stock')
        process, router = self.start_router()
        status = get_json(
            self.layout.addresses.router_admins[0], '/admin/status'
        )
        expiry = int(time.time()) + 2
        name = f'{status["host"]}.{status["incarnation"]}'
        process.pause()
        expired, expired_answers = self.in_thread(
            self.stock, router, f'mc1.{name}.{expiry}.a'
        )
        overdue, overdue_answers = self.in_thread(
            self.stock,
            router,
            f'mc1.{name}.{expiry + 60}.b',
            x_mallowcrank_deadline_ms='1000',
        )
        time.sleep(max(0, expiry + 0.5 - time.time()))
        process.resume()
        expired.join()
        overdue.join()
        self.assertEqual(
            self.outcome(expired_answers[0]), ('key_expired', 'no')
        )
        self.assertEqual(
            self.outcome(overdue_answers[0]), ('deadline_passed', 'no')
        )
        self.assertEqual(self.lines('call'), [])

    def test_silent_connections_to_alert_replicas(self):
        self.start_service('a1', 'alert')
        self.start_service('a2', 'alert')
        _, router = self.start_router()
        alert = '/v1/services/alert/train'
        for _ in range(8):
            send(router, 'POST', alert)
        for name in ('a1', 'a2'):
            self.fault(name, fault='silence')
        for _ in range(4):
            self.assertEqual(send(router, 'POST', alert).status, 200)
