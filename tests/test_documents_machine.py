"""Random tests of `accept` with races, lost replies, refused calls and crashes."""

from itertools import pairwise

import anyio
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bronzebeam.documents.accepting import Proposal, accept
from bronzebeam.documents.errors import ConflictError, OutcomeUnknownError
from bronzebeam.documents.loading import accepted_from_json
from bronzebeam.documents.review import BaseRevision
from bronzebeam.documents.storage import read_history
from bronzebeam.transport.store import StoreUnavailable
from tests.fixtures_documents import example_document
from tests.fixtures_store import (
    CallBehavior,
    CrashError,
    MemoryStore,
    run_in_virtual_time,
)

OUTAGE = [CallBehavior.REFUSE] * 10
PLANS = st.builds(
    list.__add__,
    st.lists(st.sampled_from(CallBehavior), max_size=7),
    st.sampled_from([[], OUTAGE]),
)
BURSTS = st.integers(1, 3)
# Calls take multiples of 100 ms. The offset prevents calls of two clients at the same
# time, whose order would depend on the scheduler.
OFFSET_SECONDS = 0.013


class AcceptanceMachine(RuleBasedStateMachine):
    """Two operators accept documents; each result is compared with the writes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.proposals: dict[str, Proposal] = {}
        self.last_proposal: Proposal | None = None

    @rule(burst=BURSTS, plan=PLANS)
    def accept_alone(self, burst: int, plan: list[CallBehavior]) -> None:
        proposal = self.create_proposal("ada", burst, self.written_bases()[-1])
        self.last_proposal = proposal
        run_in_virtual_time(lambda: self.accept_and_check(proposal, plan))

    @rule(bursts=st.tuples(BURSTS, BURSTS), plans=st.tuples(PLANS, PLANS))
    def accept_concurrently(
        self,
        bursts: tuple[int, int],
        plans: tuple[list[CallBehavior], list[CallBehavior]],
    ) -> None:
        base = self.written_bases()[-1]
        ada = self.create_proposal("ada", bursts[0], base)
        lin = self.create_proposal("lin", bursts[1], base)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.accept_and_check, ada, plans[0])
                await anyio.sleep(OFFSET_SECONDS)
                tasks.start_soon(self.accept_and_check, lin, plans[1])

        run_in_virtual_time(main)

    @precondition(lambda self: len(self.store.accepted) > 1)
    @rule(burst=BURSTS, data=st.data())
    def accept_on_replaced_base(self, burst: int, data: st.DataObject) -> None:
        base = data.draw(st.sampled_from(self.written_bases()[:-1]))
        proposal = self.create_proposal("lin", burst, base)
        run_in_virtual_time(lambda: self.accept_and_check(proposal, []))

    @precondition(lambda self: self.last_proposal is not None)
    @rule()
    def repeat_last_proposal(self) -> None:
        last = self.last_proposal
        assert last is not None
        run_in_virtual_time(lambda: self.accept_and_check(last, []))

    @invariant()
    def each_document_replaces_its_base(self) -> None:
        for before, after in pairwise(self.written_bases()):
            assert after.revision == before.revision + 1
            assert self.proposals[after.write_id].base == before

    def teardown(self) -> None:
        """Compare the history with the documents that were active."""

        async def main() -> None:
            history = await read_history(self.store.view(), "production")
            accepted = [accepted_from_json(item) for item in self.store.accepted]
            assert list(history) == accepted[::-1]

        run_in_virtual_time(main)

    def written_bases(self) -> list[BaseRevision]:
        """Return the revisions that were active so far, starting with none."""
        accepted = self.store.accepted
        return [
            BaseRevision(),
            *(
                BaseRevision(revision=item["revision"], write_id=item["write_id"])
                for item in accepted
            ),
        ]

    def create_proposal(self, author: str, burst: int, base: BaseRevision) -> Proposal:
        proposal = Proposal(
            document=example_document(burst=burst),
            base=base,
            author=author,
            approved_by="grace",
        )
        self.proposals[proposal.build_accepted().write_id] = proposal
        return proposal

    async def accept_and_check(
        self, proposal: Proposal, plan: list[CallBehavior]
    ) -> None:
        """Accept a proposal and compare the reported result with the writes."""
        new_document = proposal.build_accepted()
        written_before = self.is_written(new_document.write_id)
        try:
            acceptance = await accept(self.store.view(plan), proposal)
        except (CrashError, OutcomeUnknownError):
            return
        except StoreUnavailable:
            assert self.is_written(new_document.write_id) == written_before
            return
        except ConflictError as error:
            assert not self.is_written(new_document.write_id)
            assert error.current is not None
            return
        assert acceptance.accepted == new_document
        assert self.is_written(new_document.write_id)

    def is_written(self, write_id: str) -> bool:
        return any(item["write_id"] == write_id for item in self.store.accepted)


def test_accept_results_match_writes_in_random_runs() -> None:
    run_state_machine_as_test(
        AcceptanceMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=60,
            stateful_step_count=15,
            # A run covers hours of virtual time; shrinking it takes minutes.
            phases=(Phase.generate,),
        ),
    )
