"""Stand-ins for external systems, for tests, the demo and benchmarks."""
