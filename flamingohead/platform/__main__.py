"""Run a daemon with ``python -m flamingohead.platform``."""

from __future__ import annotations

import gc
import signal
import sys


def main() -> int:
    """Run the daemon of this host; return the exit code."""
    # Until the settings are watched, a reload would end the process; the start reads
    # them anyway. Everything slow is imported after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Collections over the modules that are being imported find nothing.
    gc.disable()
    from flamingohead.platform.start import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
