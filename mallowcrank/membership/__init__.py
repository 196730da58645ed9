"""
Cluster membership of agents and targets, disseminated by gossip.
"""
