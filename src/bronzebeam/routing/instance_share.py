"""An instance's share of what all instances may send to one server together."""

from attrs import frozen


@frozen(kw_only=True)
class ShareRatios:
    """
    How an amount is divided among instances without communication.

    Less than all of it is given out, for instances that the others don't know yet.

    :ivar all_instances: part for all instances, if there are no owners.
    :ivar owners: part for the owners of a shard.
    :ivar others: part for instances that send in place of owners.
    """

    all_instances: float
    owners: float
    others: float

    def share(
        self, *, instance_count: int, owner_count: int | None, is_owner: bool
    ) -> float:
        """
        Return the share of one instance.

        :param instance_count: number of live instances, this one included.
        :param owner_count: number of owners of the shard; None if all instances send
            to it.
        :param is_owner: this instance is one of the owners.
        """
        if owner_count is None:
            return self.all_instances / max(1, instance_count)
        if is_owner:
            return self.owners / max(1, owner_count)
        return self.others / max(1, instance_count - owner_count)
