"""Formal specifications of the coordination protocols, checked with z3."""
