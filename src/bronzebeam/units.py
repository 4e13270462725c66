"""Conversion between units of time."""

from typing import Final

MS_PER_SECOND: Final = 1_000.0
