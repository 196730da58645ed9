"""
Tests: one flat module a subject.
"""
