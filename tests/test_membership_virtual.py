"""
Membership of many agents in virtual time, over an unreliable network.
"""

from dataclasses import replace
from types import MappingProxyType
from unittest import TestCase

from mallowcrank.membership.facts import MemberState
from mallowcrank.membership.inbox import Broadcast, Probed, Reported
from mallowcrank.membership.probing import PROBE_INTERVAL_S, PROBERS_PER_TARGET
from mallowcrank.membership.reports import ProbeResult
from scripts.virtual_agents import VirtualFleet

AGENTS = 9
TARGETS = 12
DEATH_LIMIT_S = 10
LEAVING_LIMIT_S = 3
HELLO = MappingProxyType(
    {
        'type': 'hello',
        'router': 'h2',
        'incarnation': 'i1',
        'address': '10.0.0.2:8000',
    }
)


class TestMembership(TestCase):
    """
    Faults of agents, targets, connections and the host list.

    All agents have to converge to the same view. One observer with network
    problems, an outdated host list or an old incarnation must not remove a
    target or agent that works.
    """

    def setUp(self):
        self.fleet = VirtualFleet()
        for number in range(AGENTS):
            self.fleet.add_agent(number)
        for number in range(TARGETS):
            self.fleet.add_target(number)
        self.fleet.time.run_until(self.fleet.is_settled, 60)
        self.fleet.time.run(5)

    def state_counts(self, target):
        return dict(self.fleet.count_states(target))

    def wait_until(self, condition, limit_s):
        return self.fleet.time.run_until(condition, limit_s)

    def test_all_agents_converge_to_the_same_facts(self):
        roots = {
            agent.gossip.store.root for agent in self.fleet.agents.values()
        }
        self.assertEqual(len(roots), 1)

    def test_dead_agent_is_detected_and_its_targets_are_reassigned(self):
        self.fleet.network.stopped.add('h3')
        self.wait_until(
            lambda: self.fleet.all_agree('h3', MemberState.DEAD), DEATH_LIMIT_S
        )
        before = {
            name: target.probes for name, target in self.fleet.targets.items()
        }
        self.fleet.time.run(2.5 * PROBE_INTERVAL_S)
        for name, target in self.fleet.targets.items():
            self.assertGreaterEqual(target.probes - before[name], 4, name)

    def test_agent_with_one_failed_link_stays_alive(self):
        self.fleet.network.is_cut = lambda one, other: (
            {one, other}
            == {
                'h1',
                'h2',
            }
        )
        self.fleet.time.run(60)
        for name in ('h1', 'h2'):
            self.assertTrue(self.fleet.all_agree(name, MemberState.ALIVE))

    def test_silent_connections_are_replaced(self):
        before = {
            link.number
            for agent in self.fleet.agents.values()
            for link in agent.gossip.links
        }
        self.fleet.network.silence()
        self.fleet.time.run(5)
        for name, agent in self.fleet.agents.items():
            peers = {link.peer for link in agent.gossip.links if link.peer}
            self.assertGreaterEqual(len(peers), 3, name)
            self.assertFalse(
                before & {link.number for link in agent.gossip.links}, name
            )
            self.assertTrue(self.fleet.all_agree(name, MemberState.ALIVE))

    def test_partitioned_agent_does_not_affect_others_and_rejoins(self):
        self.fleet.network.is_cut = lambda one, _other: one == 'h4'
        self.wait_until(
            lambda: self.fleet.all_agree('h4', MemberState.DEAD), DEATH_LIMIT_S
        )
        self.fleet.time.run(10)
        others = [name for name in self.fleet.agents if name != 'h4']
        for target in self.fleet.targets:
            states = {
                self.fleet.agents[name]
                .targets(self.fleet.time.now)[target]
                .state
                for name in others
            }
            self.assertEqual(states, {'live'}, target)
        self.fleet.network.is_cut = lambda _one, _other: False
        self.wait_until(
            lambda: self.fleet.all_agree('h4', MemberState.ALIVE), 30
        )
        self.wait_until(lambda: self.state_counts('e1') == {'live': AGENTS}, 30)

    def test_agents_reconnect_after_a_partition(self):
        side = {f'h{number}' for number in range(4)}
        self.fleet.network.is_cut = lambda one, other: (
            (one in side) != (other in side)
        )
        self.fleet.time.run(40)
        self.fleet.network.is_cut = lambda _one, _other: False
        self.wait_until(
            lambda: all(
                self.fleet.all_agree(name, MemberState.ALIVE)
                for name in self.fleet.agents
            ),
            60,
        )

    def test_unreachable_agent_refutes_its_death(self):
        self.fleet.network.is_cut = lambda one, _other: one == 'h5'
        self.wait_until(
            lambda: self.fleet.all_agree('h5', MemberState.DEAD), DEATH_LIMIT_S
        )
        dead = self.fleet.agents['h0'].gossip.store.get(('m', 'h5'))
        self.fleet.network.is_cut = lambda _one, _other: False
        self.wait_until(
            lambda: self.fleet.all_agree('h5', MemberState.ALIVE), 30
        )
        alive = self.fleet.agents['h0'].gossip.store.get(('m', 'h5'))
        self.assertGreater(alive.incarnation, dead.incarnation)

    def test_rolling_restart_of_agents_keeps_known_targets(self):
        self.fleet.host_list_available = False
        for number in range(AGENTS):
            self.fleet.network.stopped.add(f'h{number}')
            self.fleet.time.run(8)
            self.fleet.add_agent(number, seeds=(0, 1, 2))
            self.wait_until(self.fleet.is_settled, 30)
        self.assertEqual(self.state_counts('e7'), {'live': AGENTS})

    def test_dead_target_is_gone_on_all_agents(self):
        self.fleet.targets['e1'].answers = False
        self.wait_until(
            lambda: self.state_counts('e1') == {'gone': AGENTS}, DEATH_LIMIT_S
        )

    def test_target_unreachable_from_one_agent_is_not_gone(self):
        agent = self.fleet.agents['h0']
        self.fleet.network.is_cut = lambda one, other: (
            (one, other)
            == (
                'h0',
                'e2',
            )
        )
        report = {
            'type': 'report',
            'suspects': [
                {'target': 'e2', 'incarnation': 1, 'reason': 'silent'}
            ],
        }
        self.fleet.dispatch('h0', Reported(report))
        self.assertEqual(
            agent.targets(self.fleet.time.now)['e2'].state, 'suspect'
        )
        self.fleet.time.run(60)
        self.assertEqual(
            self.state_counts('e2'), {'suspect': 1, 'live': AGENTS - 1}
        )

    def test_restarted_target_is_not_affected_by_old_suspicion(self):
        self.fleet.targets['e3'].answers = False
        self.wait_until(
            lambda: self.state_counts('e3') == {'gone': AGENTS}, DEATH_LIMIT_S
        )
        self.fleet.targets['e3'].answers = True
        self.fleet.change_target('e3', incarnation=2)
        self.wait_until(
            lambda: self.state_counts('e3') == {'live': AGENTS}, LEAVING_LIMIT_S
        )

    def test_leaving_target_is_known_in_time_during_host_list_outage(self):
        self.fleet.host_list_available = False
        for number in range(TARGETS):
            name = f'e{number}'
            self.fleet.change_target(name, leaving=True)
            self.wait_until(
                lambda name=name: (
                    self.state_counts(name) == {'leaving': AGENTS}
                ),
                LEAVING_LIMIT_S,
            )

    def test_router_report_of_leaving_target_spreads_at_once(self):
        self.fleet.host_list_available = False
        report = {
            'type': 'report',
            'suspects': [
                {'target': 'e4', 'incarnation': 1, 'reason': 'leaving'}
            ],
        }
        self.fleet.dispatch('h2', Reported(report))
        self.wait_until(
            lambda: self.state_counts('e4') == {'leaving': AGENTS}, 0.5
        )

    def test_host_list_marks_target_as_leaving_before_the_target_does(self):
        listed = self.fleet.host_list['e5']
        self.fleet.host_list['e5'] = replace(listed, leaving=True)
        self.wait_until(
            lambda: self.state_counts('e5') == {'leaving': AGENTS},
            LEAVING_LIMIT_S,
        )

    def test_outdated_host_list_does_not_affect_new_incarnation(self):
        self.fleet.change_target('e6', leaving=True)
        listed = self.fleet.host_list['e6']
        self.fleet.host_list['e6'] = replace(listed, leaving=True)
        self.fleet.time.run(4)
        self.fleet.change_target('e6', incarnation=2, leaving=False)
        self.wait_until(
            lambda: self.state_counts('e6') == {'live': AGENTS}, LEAVING_LIMIT_S
        )

    def test_unlisted_target_is_gone_after_one_observation(self):
        self.fleet.host_list.pop('e8')
        self.fleet.time.run(4)
        self.assertEqual(self.state_counts('e8'), {'live': AGENTS})
        for _ in range(2):
            outcome = ProbeResult('e8', reason='refused')
            self.fleet.dispatch('h0', Probed(outcome))
        self.fleet.targets['e8'].answers = False
        self.wait_until(
            lambda: self.state_counts('e8') == {'gone': AGENTS}, DEATH_LIMIT_S
        )

    def test_probe_rate_does_not_grow_with_agents(self):
        before = sum(each.probes for each in self.fleet.targets.values())
        self.fleet.time.run(10 * PROBE_INTERVAL_S)
        after = sum(each.probes for each in self.fleet.targets.values())
        self.assertEqual(after - before, TARGETS * PROBERS_PER_TARGET * 10)

    def test_lost_router_is_removed_from_all_views_at_once(self):
        self.fleet.dispatch('h2', Reported(HELLO))
        self.wait_until(lambda: self.all_know_router('h2', True), 1)
        self.fleet.dispatch('h2', Reported({'type': 'lost', 'router': 'h2'}))
        self.wait_until(lambda: self.all_know_router('h2', False), 1)

    def test_router_of_dead_agent_is_removed(self):
        self.fleet.dispatch('h2', Reported(HELLO))
        self.wait_until(lambda: self.all_know_router('h2', True), 1)
        self.fleet.network.stopped.add('h2')
        self.wait_until(
            lambda: self.all_know_router('h2', False), DEATH_LIMIT_S
        )

    def all_know_router(self, router, is_known):
        return all(
            (router in agent.peers()) == is_known
            for name, agent in self.fleet.agents.items()
            if name not in self.fleet.network.stopped
        )

    def test_broadcast_reaches_connected_agents(self):
        self.fleet.dispatch('h0', Broadcast('config.record', {'n': 1}))
        self.fleet.time.run(1)
        topics = {each.message.topic for _, each in self.fleet.delivered}
        self.assertEqual(topics, {'config.record'})
        self.assertGreaterEqual(len(self.fleet.delivered), 4)
