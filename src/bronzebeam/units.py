"""Conversion between units."""

from typing import Final

MS_PER_SECOND: Final = 1_000.0
BITS_PER_BYTE: Final = 8
BITS_PER_MEGABIT: Final = 1_000_000.0
