"""Measurements and experiments.

Importing the package installs the event loop that Twisted and asyncio share, before a
module imports Twisted's reactor.
"""

from flamingohead.services.reactor import install_reactor

install_reactor()
