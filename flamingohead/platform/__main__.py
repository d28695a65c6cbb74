"""Run a daemon with ``python -m flamingohead.platform``."""

from __future__ import annotations

import gc
import signal
import sys


def main() -> int:
    """Run the daemon of this host; return the exit code."""
    # The default action of SIGHUP would end the process before the handler that reloads
    # the settings is installed. The start reads the settings anyway. Slow imports come
    # after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Garbage collection during the imports costs time and frees nothing.
    gc.disable()
    from flamingohead.platform.start import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
