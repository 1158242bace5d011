"""Fault injection into real processes, with checks of the system's guarantees."""
