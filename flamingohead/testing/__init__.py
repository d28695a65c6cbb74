"""Fakes and assertion helpers for tests of embedding code."""
