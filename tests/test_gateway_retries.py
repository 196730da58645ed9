"""
Retries of concurrent calls against the retry budget.
"""

import asyncio
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import AsyncMock, Mock

from mallowcrank.chains.budget import RetryWindows
from mallowcrank.chains.suspect_traits import Suspicion
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.permits import Permit
from mallowcrank.gateway.plain_attempts import Attempt
from mallowcrank.gateway.plain_calls import PlainCalls
from mallowcrank.gateway.proxies import Proxy
from mallowcrank.gateway.settings import Address, Bounds
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    Response,
    ResponseHead,
)
from mallowcrank.gateway.targets import Lifetime, Target

CALLS = 6
LATE_S = 0.5  # longer than a target may be silent
# A fifth is kept back, so that one retry is allowed.
BOUNDS = Bounds(
    grace_s=8,
    drain_s=3,
    config_s=2,
    max_directory_ttl_s=5,
    retry_ratio=0,
    retry_window_s=10,
    retry_slack=1.5,
)


class BrokenChannel:
    """
    A channel that breaks after each request.
    """

    request_count = 0

    def __init__(self, sent):
        self._sent = sent

    def send(self, raw, matches, is_head):
        self._sent.append(raw)

    async def read_response(self, timeout_s):
        await asyncio.sleep(0)
        return ChannelBroken('reset')


def replica(number):
    return Target(
        lifetime=Lifetime(f'i-{number}', 0),
        service='stock',
        address=Address('10.0.0.1', 80 + number),
        zone='a',
        slots=6,
        leaving=False,
        layers=None,
        kind='',
    )


class TestConcurrentRetries(IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent = []
        self.is_reachable = True
        self.connect_s = 0.01
        fleet = Mock(entries_read_at=0)
        fleet.accepting_targets.return_value = [replica(1), replica(2)]
        fleet.health.unresponsive.return_value = {}
        vocabulary = Mock()
        vocabulary.target_headers.return_value = ()
        pool = Mock(connect=self.connect)
        pool.take_idle.return_value = None
        parts = {name: Mock() for name in Core.__dataclass_fields__}
        parts.update(
            fleet=fleet,
            vocabulary=vocabulary,
            pool=pool,
            peers=Mock(count=Mock(return_value=1)),
            random=Mock(random=Mock(return_value=0)),
            retry_after=Mock(assign_delay_s=Mock(return_value=1)),
            retry_windows=RetryWindows(BOUNDS),
            suspects=Mock(claim_trial=AsyncMock(return_value=Suspicion.NONE)),
            proxies=Mock(
                find=Mock(return_value=None),
                reachability=Mock(is_in_doubt=False, is_cut_off=False),
            ),
            prober=Mock(verify_loss=AsyncMock(return_value=False)),
            permits=Mock(
                denied=Mock(return_value=set()),
                claim=AsyncMock(return_value=Permit()),
            ),
        )
        self.core = Core(**parts)
        self.service = PlainCalls(self.core)

    async def connect(self, address):
        await asyncio.sleep(self.connect_s)
        if not self.is_reachable:
            return ConnectFailure('refused', is_refused=True)
        return BrokenChannel(self.sent)

    def call(self):
        return Call(
            request=SimpleNamespace(
                method='GET',
                target=b'/',
                host='shop.example',
                headers=(),
                body=b'',
                received_at=monotonic_s(),
            ),
            fields=SimpleNamespace(request_id='r', prompt_parts=()),
            response=Mock(has_begun=False, has_ended=False),
            route=Mock(
                repeat=Repeat.ANY,
                streams=False,
                max_sends=2,
                latency_objective_s=0.1,
            ),
            service=SimpleNamespace(name='stock'),
            workspace='',
            priority=5,
            desired_version=1,
            deadline_at=monotonic_s() + 5,
        )

    async def serve_all(self):
        await asyncio.gather(
            *(self.service.serve(self.call()) for _ in range(CALLS))
        )

    async def test_retries_that_wait_for_channels_do_not_exceed_the_budget(
        self,
    ):
        await self.serve_all()
        self.assertEqual(len(self.sent), CALLS + 1)

    async def test_sends_beside_late_ones_do_not_exceed_the_budget(self):
        self.connect_s = LATE_S
        await self.serve_all()
        self.assertEqual(len(self.sent), CALLS + 1)
        self.assertEqual(self.core.retry_usage('stock').retries, 1)

    async def test_request_that_had_run_for_long_is_not_suspected(self):
        self.core.prober.verify_loss.return_value = True
        call = self.call()
        call.sent_at = monotonic_s() - 5
        lifetime = Lifetime('i-1', 1)
        self.assertTrue(
            await self.core.check_crash(call, lifetime, call.sent_at)
        )
        self.core.suspects.record_lost.assert_not_called()
        call.sent_at = monotonic_s() - 0.1
        await self.core.check_crash(call, lifetime, call.sent_at)
        self.core.suspects.record_lost.assert_called_once()

    async def test_refusal_by_another_gateway_clears_no_suspect(self):
        self.core.vocabulary.response_fields.return_value = Mock(
            is_genuine=False
        )
        refusal = Response(ResponseHead(422, ()), b'')
        attempt = Attempt(Proxy('h2', Address('10.0.0.2', 1)), None)
        await self.service._record_result(self.call(), attempt, refusal)
        self.core.suspects.record_answered.assert_not_called()

    async def test_permit_that_expired_before_the_send_is_not_used(self):
        expired = Permit(valid_until=monotonic_s() - 1)
        self.core.permits.claim.return_value = expired
        await self.serve_all()
        self.assertEqual(self.sent, [])

    async def test_retry_that_finds_no_channel_leaves_the_budget(self):
        self.is_reachable = False
        await self.serve_all()
        self.assertEqual(self.sent, [])
        self.assertEqual(self.core.retry_usage('stock').retries, 0)
