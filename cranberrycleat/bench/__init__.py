"""Benchmarks of placement, routing and control, each compared with baselines."""
