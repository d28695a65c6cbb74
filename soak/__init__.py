"""Random fault injection into real processes, with promises checked from outside."""
