"""Tests of bronzebeam."""

import io

from bronzebeam.telemetry.logs import LogOutput

# Eliot buffers events until the first output is opened. Without this, the first test
# to open an output would also receive the events of earlier tests.
LogOutput(stream=io.StringIO()).close()
