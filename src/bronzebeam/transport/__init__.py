"""Connections to backend servers, the store and peers."""
