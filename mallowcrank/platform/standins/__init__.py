"""
Stand-ins of the platform, for tests and the demo only. Gateways don't import
them.
"""
