"""Example documents, drafts and helpers for the tests of operations."""

import json
from collections.abc import Awaitable
from pathlib import Path
from typing import Any, TypeVar

from attrs import evolve

from bronzebeam.documents import operations
from bronzebeam.documents.accepting import Acceptance
from bronzebeam.documents.drafts import Draft
from bronzebeam.documents.loading import document_from_json
from bronzebeam.documents.model import CallerLimitSpec, EnvironmentDocument
from bronzebeam.documents.storage import read_current
from bronzebeam.transport.store import Store

ErrorT = TypeVar("ErrorT", bound=Exception)

EXAMPLES = Path(__file__).parent.parent / "examples"


def example_json(name: str = "small") -> Any:
    return json.loads((EXAMPLES / name / "production.json").read_text())


def example_document(
    *, burst: int = 1, environment: str = "production"
) -> EnvironmentDocument:
    """Return the small example; a different `burst` gives a different document."""
    limit = CallerLimitSpec(rate_per_second=10.0, burst=burst)
    return evolve(
        document_from_json(example_json()), environment=environment, caller_limit=limit
    )


async def make_draft(
    store: Store, *, burst: int, author: str = "ada", environment: str = "production"
) -> Draft:
    """Return a draft that is based on the active document."""
    current = await read_current(store, environment)
    document = example_document(burst=burst, environment=environment)
    return Draft(author=author, base=current.base, document=document)


async def activate_document(
    store: Store, *, burst: int, author: str = "ada", environment: str = "production"
) -> Acceptance:
    """Create, approve and promote a draft."""
    draft = await make_draft(store, burst=burst, author=author, environment=environment)
    await operations.approve_draft(store, draft, approver="grace")
    return await operations.promote_draft(store, draft)


async def expect_failure(call: Awaitable[object], kind: type[ErrorT]) -> ErrorT:
    """Await `call` and return the exception of type `kind` that it must raise."""
    try:
        await call
    except kind as error:
        return error
    raise AssertionError(f"no {kind.__name__} was raised")
