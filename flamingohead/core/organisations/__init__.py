"""Organisations: identity of callers, keys in force, limits."""
