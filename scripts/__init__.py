"""
Scripts that run the programs as plain processes: demos, benchmarks and tests.
"""
