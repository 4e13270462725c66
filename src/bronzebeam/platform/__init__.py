"""Names, formats and calls of the platform that the gateway runs on."""
