"""Experiments, each with its own rig, that bring figures."""
