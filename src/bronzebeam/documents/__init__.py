"""Environment documents: schema, checks, review and promotion."""
