"""Services that perform the I/O for the core, looked up by name in the kernel."""
