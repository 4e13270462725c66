"""The entry daemon and its lifecycle."""
