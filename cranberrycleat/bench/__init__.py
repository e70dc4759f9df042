"""Measurements beside their baselines: placement, routing, control."""
