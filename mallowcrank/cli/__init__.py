"""
Command lines: one module a program.
"""
