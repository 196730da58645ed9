"""
Membership: which agents and targets there are, agreed by gossip.
"""
