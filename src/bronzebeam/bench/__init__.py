"""Load and experiments against the stand-ins."""
