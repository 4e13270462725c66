"""A query tier that fronts many index shards."""

from typing import Final

__version__: Final = "0.1.0"
