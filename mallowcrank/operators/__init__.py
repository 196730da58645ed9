"""
What the operators' program does, one module a subject.
"""
