"""
The tree of settings: its records, its fold, and what follows from it.
"""
