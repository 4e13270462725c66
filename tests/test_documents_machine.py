"""Random runs of acceptances under races, lost replies, refusals and crashes."""

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
# Calls take a multiple of 100 ms; the offset keeps two clients' calls apart, so that
# their order does not depend on the scheduler.
OFFSET_SECONDS = 0.013


class AcceptanceMachine(RuleBasedStateMachine):
    """Two operators accept documents; each verdict is compared with the writes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.proposals: dict[str, Proposal] = {}
        self.last: Proposal | None = None

    @rule(burst=BURSTS, plan=PLANS)
    def accept_alone(self, burst: int, plan: list[CallBehavior]) -> None:
        proposal = self.propose("ada", burst, self.bases()[-1])
        self.last = proposal
        run_in_virtual_time(lambda: self.attempt(proposal, plan))

    @rule(bursts=st.tuples(BURSTS, BURSTS), plans=st.tuples(PLANS, PLANS))
    def race(
        self,
        bursts: tuple[int, int],
        plans: tuple[list[CallBehavior], list[CallBehavior]],
    ) -> None:
        base = self.bases()[-1]
        ada = self.propose("ada", bursts[0], base)
        lin = self.propose("lin", bursts[1], base)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.attempt, ada, plans[0])
                await anyio.sleep(OFFSET_SECONDS)
                tasks.start_soon(self.attempt, lin, plans[1])

        run_in_virtual_time(main)

    @precondition(lambda self: len(self.store.accepted) > 1)
    @rule(burst=BURSTS, data=st.data())
    def accept_on_a_replaced_base(self, burst: int, data: st.DataObject) -> None:
        base = data.draw(st.sampled_from(self.bases()[:-1]))
        proposal = self.propose("lin", burst, base)
        run_in_virtual_time(lambda: self.attempt(proposal, []))

    @precondition(lambda self: self.last is not None)
    @rule()
    def repeat_the_last(self) -> None:
        last = self.last
        assert last is not None
        run_in_virtual_time(lambda: self.attempt(last, []))

    @invariant()
    def each_document_replaces_the_one_before(self) -> None:
        for before, after in pairwise(self.bases()):
            assert after.revision == before.revision + 1
            assert self.proposals[after.write_id].base == before

    def teardown(self) -> None:
        """Compare the history with what was in force."""

        async def main() -> None:
            history = await read_history(self.store.view(), "production")
            accepted = [accepted_from_json(item) for item in self.store.accepted]
            assert list(history) == accepted[::-1]

        run_in_virtual_time(main)

    def bases(self) -> list[BaseRevision]:
        """Return what was in force, from the start on."""
        accepted = self.store.accepted
        return [
            BaseRevision(),
            *(
                BaseRevision(revision=item["revision"], write_id=item["write_id"])
                for item in accepted
            ),
        ]

    def propose(self, author: str, burst: int, base: BaseRevision) -> Proposal:
        proposal = Proposal(
            document=example_document(burst=burst),
            base=base,
            author=author,
            approved_by="grace",
        )
        self.proposals[proposal.build_accepted().write_id] = proposal
        return proposal

    async def attempt(self, proposal: Proposal, plan: list[CallBehavior]) -> None:
        """Accept, and compare what the operator is told with what was written."""
        wanted = proposal.build_accepted()
        held_before = self.is_written(wanted.write_id)
        try:
            acceptance = await accept(self.store.view(plan), proposal)
        except (CrashError, OutcomeUnknownError):
            return
        except StoreUnavailable:
            assert self.is_written(wanted.write_id) == held_before
            return
        except ConflictError as error:
            assert not self.is_written(wanted.write_id)
            assert error.current is not None
            return
        assert acceptance.accepted == wanted
        assert self.is_written(wanted.write_id)

    def is_written(self, write_id: str) -> bool:
        return any(item["write_id"] == write_id for item in self.store.accepted)


def test_verdicts_agree_with_the_writes_in_random_runs() -> None:
    run_state_machine_as_test(
        AcceptanceMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=60,
            stateful_step_count=15,
            # Shrinking a run of virtual hours takes minutes of real time.
            phases=(Phase.generate,),
        ),
    )
