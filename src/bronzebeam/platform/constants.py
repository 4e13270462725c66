"""Keys and paths that the platform prescribes."""

from typing import Final

# Store keys and key prefixes.
CONFIGURATION_KEY: Final = "op/config"
REPLICA_PREFIX: Final = "servers/"
INSTANCE_PREFIX: Final = "instances/"
SETTLED_PREFIX: Final = "settled/"
SUSPECT_PREFIX: Final = "suspects/"
# Followed by a failure domain; the value is empty.
EVACUATION_PREFIX: Final = "op/evacuate/"

READY_PATH: Final = b"/ready"
