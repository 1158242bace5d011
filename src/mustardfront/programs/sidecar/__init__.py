"""The sidecar program."""
