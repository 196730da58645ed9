"""
Leases granted through the platform's log, and orders sent under them.
"""
