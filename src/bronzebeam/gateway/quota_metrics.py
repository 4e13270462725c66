"""Metrics of the quotas of accounts."""

from typing import Final

from attrs import define, field

from bronzebeam.telemetry.metrics import Counter, MetricFamily, MetricRegistry

# The accounts with the highest rates may be others after each configuration.
MAX_NAMES: Final = 60
OTHER: Final = "other"


@define(kw_only=True, eq=False, repr=False)
class QuotaMetrics:
    """
    Counters of tokens granted and refused, and of the messages about them.

    :ivar _names: accounts that have been named; bounds the number of counters.
    """

    registry: MetricRegistry
    _granted: MetricFamily[Counter] = field(init=False)
    _refused: MetricFamily[Counter] = field(init=False)
    _asked: MetricFamily[Counter] = field(init=False)
    _names: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._granted = self.registry.counter(
            name="bronzebeam_gateway_quota_granted_total",
            help_text="Requests with a token of their account, by who granted it.",
            label_names=("account", "role"),
        )
        self._refused = self.registry.counter(
            name="bronzebeam_gateway_quota_refused_total",
            help_text="Requests refused without a token, by who refused it.",
            label_names=("account", "role"),
        )
        self._asked = self.registry.counter(
            name="bronzebeam_gateway_quota_asked_total",
            help_text="Messages that asked peers for tokens, by result.",
            label_names=("result",),
        )

    def count_granted(self, account: str, role: str) -> None:
        """Count a request that got a token."""
        self._granted.labels(account=self._name(account), role=role).increment()

    def count_refused(self, account: str, role: str) -> None:
        """Count a request that was refused."""
        self._refused.labels(account=self._name(account), role=role).increment()

    def count_asked(self, result: str) -> None:
        """Count a message to a peer."""
        self._asked.labels(result=result).increment()

    def _name(self, account: str) -> str:
        if account not in self._names:
            if len(self._names) >= MAX_NAMES:
                return OTHER
            self._names.add(account)
        return account
