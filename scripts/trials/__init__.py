"""
Trials of the policies in virtual time, with small fakes for the engines.
"""
