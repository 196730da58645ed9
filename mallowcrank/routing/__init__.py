"""
Placement, the throughput bound, and the choice of paths and replicas.
"""
