"""Pure decisions: no clock, socket or random source of their own."""
