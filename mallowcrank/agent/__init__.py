"""
The agent: control on every entry host.
"""
