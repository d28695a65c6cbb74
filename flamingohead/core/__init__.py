"""Core logic without I/O: no sockets, clocks or global random numbers."""
