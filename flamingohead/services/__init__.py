"""I/O around the core, found by name through the kernel."""
