"""The gateway: forwards callers' requests to backend servers by host and path."""
