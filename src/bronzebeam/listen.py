"""Settings of the address that a process listens on."""

from attrs import frozen


@frozen(kw_only=True)
class ListenSettings:
    """An IP address and port to listen on."""

    address: str
    port: int

    @property
    def bind(self) -> str:
        """Return `address:port`, with brackets around an IPv6 address."""
        if ":" in self.address:
            return f"[{self.address}]:{self.port}"
        return f"{self.address}:{self.port}"
