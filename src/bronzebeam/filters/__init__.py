"""The request filter chain, one filter a module."""
