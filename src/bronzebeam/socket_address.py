"""Address of a socket, to listen on or connect to."""

from attrs import frozen


@frozen(kw_only=True)
class SocketAddress:
    """An IP address and port."""

    address: str
    port: int

    @property
    def bind(self) -> str:
        """Return `address:port`, with brackets around an IPv6 address."""
        if ":" in self.address:
            return f"[{self.address}]:{self.port}"
        return f"{self.address}:{self.port}"
