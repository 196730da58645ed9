"""
Scripts that start the programs as plain processes, for demo, bench and tests.
"""
