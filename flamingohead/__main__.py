"""Run the command line with ``python -m flamingohead``."""

from flamingohead.command import main

if __name__ == "__main__":
    main(prog_name="flamingohead")
