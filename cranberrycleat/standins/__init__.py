"""Stand-ins for what the product meets: for tests, the demo and benches."""
