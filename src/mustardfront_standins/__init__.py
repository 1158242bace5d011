"""Stand-ins for platform services, used by tests, the demo and benchmarks."""
