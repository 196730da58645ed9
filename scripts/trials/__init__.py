"""
Trials of the routing and admission policies in virtual time, with simulated
engines.
"""
