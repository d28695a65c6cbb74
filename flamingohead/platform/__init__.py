"""Adapter for the deployment platform: its settings, store, messages and headers.

It converts the platform's formats to the types of the project and contains no policy.
"""
