"""Experiments that measure figures, each on a rig of its own."""
