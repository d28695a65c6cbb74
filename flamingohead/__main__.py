"""Run the command line with ``python -m flamingohead``."""

from flamingohead.commands import run_main

if __name__ == "__main__":
    run_main()
