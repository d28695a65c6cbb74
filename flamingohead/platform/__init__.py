"""Adapter to the platform of the deployment: its settings, store, messages, headers.

Decodes what the platform says into the types of the project and holds no decision.
"""
