"""Randomized faults on real processes, with the promises checked from outside."""
