"""Decisions on the life cycle of upstreams."""
