"""Requests that crash their upstreams."""
