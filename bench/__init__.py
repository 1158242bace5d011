"""Measurements: each module is one, run by ``make bench``."""
