"""
Leases from the log, and the orders that are given under them.
"""
