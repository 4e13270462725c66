"""Pure decision logic: time and randomness are passed in, and there is no I/O."""
