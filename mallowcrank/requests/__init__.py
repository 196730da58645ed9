"""
Requests: what callers ask, retry decisions, keys and outcomes.
"""
