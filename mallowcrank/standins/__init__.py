"""
Stand-ins for the platform and the targets, for tests, demo and bench.
"""
