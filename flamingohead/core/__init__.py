"""Pure decisions: no sockets, clocks or global random numbers."""
