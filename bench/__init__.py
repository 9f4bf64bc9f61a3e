"""Measurements of sapphireyard against baselines."""
