"""The chain of request filters; each module holds one filter."""
