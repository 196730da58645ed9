"""
The agent: the control-plane daemon of each entry host.
"""
