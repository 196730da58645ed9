"""
Layer placement, the throughput bound, and path and replica selection.
"""
