"""The gateway: routes callers' requests to backend servers by host and path."""
