"""Reads and validates the platform's settings file, lines of ``a.b=value``."""

import math
from collections.abc import Mapping
from typing import Final

from bronzebeam.decoding import read_count, read_host_and_port, read_port
from bronzebeam.findings import Finding, FindingsError
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.platform.constants import READY_PATH
from bronzebeam.platform.settings_file import (
    CALLER_ADDRESS_FIELD,
    parse_fields,
    read_text,
)
from bronzebeam.routing.cold_limits import ColdTolerance
from bronzebeam.routing.quotas import QuotaTolerance
from bronzebeam.routing.repeat_budget import RepeatLimits
from bronzebeam.socket_address import SocketAddress
from bronzebeam.units import BITS_PER_MEGABIT, MS_PER_SECOND

# Defaults for missing fields; each is the value of the present deployments.
DEFAULT_STOP_BOUND_SECONDS: Final = 6.0
DEFAULT_CHANGE_BOUND_MS: Final = 3_000.0  # the shortest of the known deployments
DEFAULT_HEARTBEAT_MS: Final = 1_200.0
MAX_MISSED_HEARTBEATS: Final = 3  # then the store drops a replica's registration
DEFAULT_REPEAT_RATIO: Final = 0.2
DEFAULT_REPEAT_SLACK: Final = 0.0
DEFAULT_REPEAT_WINDOW_SECONDS: Final = 10.0
MIN_PROCESSOR_CORES: Final = 0.1  # used as a weight, which must be above 0
DEFAULT_MIN_LEASE_MS: Final = 1_000.0
DEFAULT_QUOTA_WINDOW_SECONDS: Final = 5.0
DEFAULT_COLD_OVERAGE_RATIO: Final = 1.0
DEFAULT_EVACUATION_BOUND_MS: Final = 5_000.0
# Of the limit on descriptors, these are for files only.
FILE_DESCRIPTORS: Final = 200
BYTES_PER_MEGABYTE: Final = 1024 * 1024
DOMAIN_FIELD_PREFIX: Final = "zones."


def read_settings(path: str) -> GatewaySettings:
    """
    Read and validate the settings file, without waiting.

    Unknown fields are ignored, since later platform versions may add some.

    :raises FindingsError: with all errors; also if the file can't be read.
    """
    return parse_settings(read_settings_text(path, may_wait=False), subject=path)


def read_settings_text(path: str, *, may_wait: bool) -> str:
    """
    Read the settings file.

    :param may_wait: see `read_text`.
    :raises FindingsError: if it can't be read.
    """
    try:
        return read_text(path, may_wait=may_wait)
    except (OSError, ValueError) as error:
        finding = Finding(place="", message=f"The file cannot be read: {error}.")
        raise FindingsError(subject=path, findings=[finding]) from error


def parse_settings(text: str, *, subject: str) -> GatewaySettings:
    """
    Parse and validate the text of a settings file.

    :raises FindingsError: with all errors.
    """
    reader = _FieldReader(fields=parse_fields(text))
    address = reader.required("ipAddress")
    settings = GatewaySettings(
        instance=reader.required("nodeName"),
        failure_domain=reader.required("zone"),
        caller_listen=reader.address(CALLER_ADDRESS_FIELD),
        ready_listen=reader.optional_address("listenAddresses.ready"),
        ready_path=READY_PATH,
        peer_listen=reader.first_port("internalPortRange", address),
        store=reader.address("platform.address"),
        # cpuShare is a share of one core, cpuCores the relative speed of that core.
        processor_cores=max(
            MIN_PROCESSOR_CORES,
            reader.number("limits.cpuShare", 1.0)
            * reader.number("limits.cpuCores", 1.0),
        ),
        link_bits_per_second=reader.number("limits.linkMbps", 0.0) * BITS_PER_MEGABIT,
        lease_min_ms=reader.number("platform.minTtlMs", DEFAULT_MIN_LEASE_MS),
        change_bound_seconds=min(
            reader.number("bounds.drainTimeoutMs", DEFAULT_CHANGE_BOUND_MS),
            reader.number("bounds.configApplyMs", DEFAULT_CHANGE_BOUND_MS),
            # Only where stated: changes are read more often for a shorter bound, and
            # the default leaves time enough for the longest interval between reads.
            reader.number("bounds.evacuationMs", math.inf),
        )
        / MS_PER_SECOND,
        drain_bound_seconds=reader.number(
            "bounds.drainTimeoutMs", DEFAULT_CHANGE_BOUND_MS
        )
        / MS_PER_SECOND,
        registration_timeout_seconds=MAX_MISSED_HEARTBEATS
        * reader.number("heartbeatIntervalMs", DEFAULT_HEARTBEAT_MS)
        / MS_PER_SECOND,
        stop_bound_seconds=reader.number(
            "bounds.gracePeriodS", DEFAULT_STOP_BOUND_SECONDS
        ),
        repeats=RepeatLimits(
            ratio=reader.number("bounds.retryBudgetRatio", DEFAULT_REPEAT_RATIO),
            slack_count=reader.number("bounds.retryBudgetSlack", DEFAULT_REPEAT_SLACK),
            window_seconds=reader.number(
                "bounds.budgetWindowS", DEFAULT_REPEAT_WINDOW_SECONDS
            ),
        ),
        quota_tolerance=QuotaTolerance(
            window_seconds=reader.number(
                "bounds.quotaWindowS", DEFAULT_QUOTA_WINDOW_SECONDS
            ),
            overage_ratio=reader.number("bounds.quotaOverage", 0.0),
            slack_count=reader.number("bounds.quotaSlack", 0.0),
        ),
        cold_tolerance=ColdTolerance(
            overage_ratio=reader.number(
                "bounds.coldOverage", DEFAULT_COLD_OVERAGE_RATIO
            ),
            slack_count=reader.number("bounds.coldSlack", 0.0),
        ),
        configuration_bound_seconds=reader.number(
            "bounds.configApplyMs", DEFAULT_CHANGE_BOUND_MS
        )
        / MS_PER_SECOND,
        evacuation_bound_seconds=reader.number(
            "bounds.evacuationMs", DEFAULT_EVACUATION_BOUND_MS
        )
        / MS_PER_SECOND,
        memory_limit_bytes=reader.known_number("limits.memoryMb") * BYTES_PER_MEGABYTE,
        descriptor_limit=max(
            0, int(reader.known_number("limits.fdLimit")) - FILE_DESCRIPTORS
        ),
        region=reader.optional("region"),
        region_by_domain=reader.with_prefix(DOMAIN_FIELD_PREFIX),
    )
    if reader.findings:
        raise FindingsError(subject=subject, findings=reader.findings)
    return settings


class _FieldReader:
    """Reads typed fields and collects the errors found in them."""

    def __init__(self, *, fields: Mapping[str, str]) -> None:
        self.findings: list[Finding] = []
        self._fields = fields

    def optional(self, name: str) -> str:
        """Return a field, or an empty string."""
        return self._fields.get(name, "")

    def with_prefix(self, prefix: str) -> dict[str, str]:
        """Return the fields whose names begin with a prefix, without that prefix."""
        return {
            name.removeprefix(prefix): value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def required(self, name: str) -> str:
        """Return a required field."""
        value = self.optional(name)
        if not value:
            self._add_finding(name, "This field is missing.")
        return value

    def number(self, name: str, default: float) -> float:
        """Return a non-negative number, or the default."""
        text = self.optional(name)
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0.0 <= value < float("inf"):
            self._add_finding(
                name, f"This must be a number of at least 0, not {text!r}."
            )
            return default
        return value

    def known_number(self, name: str) -> float:
        """Return a number that the process can do without; 0 if it is unknown."""
        try:
            value = float(self.optional(name))
        except ValueError:
            return 0.0
        return value if 0.0 <= value < float("inf") else 0.0

    def address(self, name: str) -> SocketAddress:
        """Return a required address."""
        if not self.required(name):
            return SocketAddress(address="", port=0)
        return self.optional_address(name) or SocketAddress(address="", port=0)

    def optional_address(self, name: str) -> SocketAddress | None:
        """Return an address, or None."""
        text = self.optional(name)
        if not text:
            return None
        try:
            host, port = read_host_and_port(text)
        except ValueError:
            self._add_finding(
                name, f"This must be an IPv4 address and a port, not {text!r}."
            )
            return None
        return SocketAddress(address=host, port=port)

    def first_port(self, name: str, address: str) -> SocketAddress | None:
        """Return the first port of a range at an address; None without a range."""
        text = self.optional(name)
        if not text:
            return None
        try:
            port = read_port(read_count(text.partition(",")[0]))
        except ValueError:
            self._add_finding(name, f"This must be a range of ports, not {text!r}.")
            return None
        return SocketAddress(address=address, port=port)

    def _add_finding(self, name: str, message: str) -> None:
        self.findings.append(Finding(place=name, message=message))
