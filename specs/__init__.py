"""Specifications of the protocols, checked with z3."""
