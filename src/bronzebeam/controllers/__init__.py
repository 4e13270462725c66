"""Tasks that own state and take messages."""
