"""Fakes, simulations and launchers of processes for tests and benchmarks."""
