"""Property tests of the guarantees, one module for each."""
