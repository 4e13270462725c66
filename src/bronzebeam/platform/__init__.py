"""Adapters to the platform that the gateway runs on: settings, store, headers."""
