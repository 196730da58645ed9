"""
Membership of many agents in virtual time, over a network with faults.
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
    def setUp(self):
        self.fleet = VirtualFleet()
        for number in range(AGENTS):
            self.fleet.add_agent(number)
        for number in range(TARGETS):
            self.fleet.add_target(number)
        self.fleet.time.run_until(self.fleet.is_settled, 60)
        self.fleet.time.run(5)

    def count(self, target):
        return dict(self.fleet.states(target))

    def wait(self, is_so, limit_s):
        return self.fleet.time.run_until(is_so, limit_s)

    def test_all_agents_hold_the_same_facts(self):
        roots = {
            agent.gossip.store.root for agent in self.fleet.agents.values()
        }
        self.assertEqual(len(roots), 1)

    def test_dead_agent_is_dead_for_all_and_its_targets_are_taken_over(self):
        self.fleet.network.stopped.add('h3')
        self.wait(
            lambda: self.fleet.knows('h3', MemberState.DEAD), DEATH_LIMIT_S
        )
        before = {
            name: target.probes for name, target in self.fleet.targets.items()
        }
        self.fleet.time.run(2.5 * PROBE_INTERVAL_S)
        for name, target in self.fleet.targets.items():
            self.assertGreaterEqual(target.probes - before[name], 4, name)

    def test_agent_that_one_link_lost_stays_alive(self):
        self.fleet.network.is_cut = lambda one, other: (
            {one, other}
            == {
                'h1',
                'h2',
            }
        )
        self.fleet.time.run(60)
        for name in ('h1', 'h2'):
            self.assertTrue(self.fleet.knows(name, MemberState.ALIVE))

    def test_connections_that_went_silent_are_replaced(self):
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
            self.assertTrue(self.fleet.knows(name, MemberState.ALIVE))

    def test_cut_off_agent_takes_nothing_from_the_others_and_comes_back(self):
        self.fleet.network.is_cut = lambda one, _other: one == 'h4'
        self.wait(
            lambda: self.fleet.knows('h4', MemberState.DEAD), DEATH_LIMIT_S
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
        self.wait(lambda: self.fleet.knows('h4', MemberState.ALIVE), 30)
        self.wait(lambda: self.count('e1') == {'live': AGENTS}, 30)

    def test_agents_lost_in_a_partition_find_each_other_again(self):
        side = {f'h{number}' for number in range(4)}
        self.fleet.network.is_cut = lambda one, other: (
            (one in side) != (other in side)
        )
        self.fleet.time.run(40)
        self.fleet.network.is_cut = lambda _one, _other: False
        self.wait(
            lambda: all(
                self.fleet.knows(name, MemberState.ALIVE)
                for name in self.fleet.agents
            ),
            60,
        )

    def test_paused_agent_refutes_its_death(self):
        self.fleet.network.is_cut = lambda one, _other: one == 'h5'
        self.wait(
            lambda: self.fleet.knows('h5', MemberState.DEAD), DEATH_LIMIT_S
        )
        dead = self.fleet.agents['h0'].gossip.store.get(('m', 'h5'))
        self.fleet.network.is_cut = lambda _one, _other: False
        self.wait(lambda: self.fleet.knows('h5', MemberState.ALIVE), 30)
        back = self.fleet.agents['h0'].gossip.store.get(('m', 'h5'))
        self.assertGreater(back.incarnation, dead.incarnation)

    def test_all_agents_replaced_one_by_one_keep_what_is_known(self):
        self.fleet.list_works = False
        for number in range(AGENTS):
            self.fleet.network.stopped.add(f'h{number}')
            self.fleet.time.run(8)
            self.fleet.add_agent(number, seeds=(0, 1, 2))
            self.wait(self.fleet.is_settled, 30)
        self.assertEqual(self.count('e7'), {'live': AGENTS})

    def test_dead_target_is_gone_for_all(self):
        self.fleet.targets['e1'].answers = False
        self.wait(lambda: self.count('e1') == {'gone': AGENTS}, DEATH_LIMIT_S)

    def test_target_that_one_agent_can_not_reach_is_not_gone(self):
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
        self.fleet.tell('h0', Reported(report))
        self.assertEqual(
            agent.targets(self.fleet.time.now)['e2'].state, 'suspect'
        )
        self.fleet.time.run(60)
        self.assertEqual(self.count('e2'), {'suspect': 1, 'live': AGENTS - 1})

    def test_restarted_target_is_not_held_to_old_suspicion(self):
        self.fleet.targets['e3'].answers = False
        self.wait(lambda: self.count('e3') == {'gone': AGENTS}, DEATH_LIMIT_S)
        self.fleet.targets['e3'].answers = True
        self.fleet.change_target('e3', incarnation=2)
        self.wait(lambda: self.count('e3') == {'live': AGENTS}, LEAVING_LIMIT_S)

    def test_leaving_target_is_known_in_time_while_the_list_is_out(self):
        self.fleet.list_works = False
        for number in range(TARGETS):
            name = f'e{number}'
            self.fleet.change_target(name, leaving=True)
            self.wait(
                lambda name=name: self.count(name) == {'leaving': AGENTS},
                LEAVING_LIMIT_S,
            )

    def test_router_passes_on_at_once_that_a_target_leaves(self):
        self.fleet.list_works = False
        report = {
            'type': 'report',
            'suspects': [
                {'target': 'e4', 'incarnation': 1, 'reason': 'leaving'}
            ],
        }
        self.fleet.tell('h2', Reported(report))
        self.wait(lambda: self.count('e4') == {'leaving': AGENTS}, 0.5)

    def test_list_says_leaving_before_the_target_does(self):
        listed = self.fleet.listed['e5']
        self.fleet.listed['e5'] = replace(listed, leaving=True)
        self.wait(
            lambda: self.count('e5') == {'leaving': AGENTS}, LEAVING_LIMIT_S
        )

    def test_late_list_does_not_hold_against_a_new_incarnation(self):
        self.fleet.change_target('e6', leaving=True)
        listed = self.fleet.listed['e6']
        self.fleet.listed['e6'] = replace(listed, leaving=True)
        self.fleet.time.run(4)
        self.fleet.change_target('e6', incarnation=2, leaving=False)
        self.wait(lambda: self.count('e6') == {'live': AGENTS}, LEAVING_LIMIT_S)

    def test_target_that_was_taken_off_the_list_goes_on_one_word(self):
        self.fleet.listed.pop('e8')
        self.fleet.time.run(4)
        self.assertEqual(self.count('e8'), {'live': AGENTS})
        for _ in range(2):
            outcome = ProbeResult('e8', reason='refused')
            self.fleet.tell('h0', Probed(outcome))
        self.fleet.targets['e8'].answers = False
        self.wait(lambda: self.count('e8') == {'gone': AGENTS}, DEATH_LIMIT_S)

    def test_rate_of_probes_does_not_grow_with_agents(self):
        before = sum(each.probes for each in self.fleet.targets.values())
        self.fleet.time.run(10 * PROBE_INTERVAL_S)
        after = sum(each.probes for each in self.fleet.targets.values())
        self.assertEqual(after - before, TARGETS * PROBERS_PER_TARGET * 10)

    def test_router_that_is_gone_is_out_of_all_views_at_once(self):
        self.fleet.tell('h2', Reported(HELLO))
        self.wait(lambda: self.know_router('h2', True), 1)
        self.fleet.tell('h2', Reported({'type': 'lost', 'router': 'h2'}))
        self.wait(lambda: self.know_router('h2', False), 1)

    def test_router_goes_with_its_agent(self):
        self.fleet.tell('h2', Reported(HELLO))
        self.wait(lambda: self.know_router('h2', True), 1)
        self.fleet.network.stopped.add('h2')
        self.wait(lambda: self.know_router('h2', False), DEATH_LIMIT_S)

    def know_router(self, router, known):
        return all(
            (router in agent.peers()) == known
            for name, agent in self.fleet.agents.items()
            if name not in self.fleet.network.stopped
        )

    def test_message_of_another_part_reaches_connected_agents(self):
        self.fleet.tell('h0', Broadcast('config.record', {'n': 1}))
        self.fleet.time.run(1)
        topics = {each.message.topic for _, each in self.fleet.heard}
        self.assertEqual(topics, {'config.record'})
        self.assertGreaterEqual(len(self.fleet.heard), 4)
