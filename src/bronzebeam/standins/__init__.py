"""Stand-ins: small fakes of the external systems, for tests and benchmarks."""
