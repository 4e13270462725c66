"""Names of the platform that more than one module of this folder needs."""

from typing import Final

# Keys of the store.
CONFIGURATION_KEY: Final = "op/config"
REPLICA_PREFIX: Final = "servers/"
INSTANCE_PREFIX: Final = "instances/"
SUSPECT_PREFIX: Final = "suspects/"

READY_PATH: Final = b"/ready"
