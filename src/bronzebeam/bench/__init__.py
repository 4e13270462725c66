"""Load generators and experiments that run against the stand-ins of the platform."""
