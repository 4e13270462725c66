"""Runs a gateway on the platform: ``python3 -m bronzebeam.platform``."""

import sys

if __name__ == "__main__":
    # The gateway speaks no TLS. Without this module asyncio starts a tenth faster, and
    # a process that returns after a loss of power serves that much sooner.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    from bronzebeam.platform.role import main

    sys.exit(main())
