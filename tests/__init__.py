"""Tests of bronzebeam."""

import io

from bronzebeam.telemetry.logs import LogOutput

# Until a first output is opened, eliot keeps what is logged for it, so that the first
# test to open one would see the events of tests before it.
LogOutput(stream=io.StringIO()).close()
