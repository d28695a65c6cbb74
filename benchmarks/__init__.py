"""Measurements and experiments.

Installs the shared event loop before a module imports Twisted's reactor.
"""

from flamingohead.services.reactor import install_reactor

install_reactor()
