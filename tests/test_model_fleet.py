"""
Random series of troubles of a small fleet, which must keep its rules.

Run with ``python -m tests.test_model_fleet --minutes M`` for new series.
"""

import time

import click
from hypothesis import HealthCheck, Phase, example, given, settings, strategies as st

from tests.fixtures_gateway import run_scenario
from tests.model_fleet import TROUBLES, Step, describe, scenario_of, series

STEPS = st.lists(
    st.tuples(
        st.integers(0, len(TROUBLES) - 1),
        st.integers(0, 11),
        st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.0]),
    ),
    min_size=8,
    max_size=25,
)
EXAMPLES_IN_CI = 20
# Each breaks a rule without one of the mends of docs/incidents/drain.md.
RESTARTS_WHILE_REPLICAS_DRAIN = series(
    ("slow_down", 0, 0.0),
    ("drain", 0, 0.5),
    ("drain", 2, 0.0),
    ("slow_down", 0, 3.5),
    ("kill", 0, 0.1),
    ("kill", 1, 0.5),
    ("kill", 2, 0.5),
)
LAPSES_WHILE_REPLICAS_DRAIN = series(
    ("lapse_while_draining", 0, 0.5),
    ("lapse_while_draining", 2, 0.0),
    ("slow_down", 0, 4.0),
)
START_ON_PAGES_OF_UNEQUAL_AGE = series(
    ("lapse_while_draining", 9, 0.5),
    ("kill", 5, 0.0),
    ("drain", 5, 0.0),
    ("remove", 11, 1.0),
    ("slow_down", 5, 0.5),
    ("kill", 1, 1.0),
)
REMOVALS_BEHIND_DROPPED_WATCHES = series(
    ("drop_watches", 0, 1.0),
    ("remove", 8, 0.1),
    ("remove", 9, 0.0),
    ("remove", 10, 0.0),
    ("remove", 11, 0.0),
    ("slow_down", 1, 0.0),
)
ENTRY_THAT_CAN_NOT_BE_READ = series(
    ("write_odd_entry", 2, 0.0), ("drain", 0, 0.5), ("change_configuration", 0, 0.0)
)
# Loses requests without the mend of docs/incidents/planned-stop-cut-off.md.
STOPS_UNDER_LOAD = series(
    ("slow_down_for_a_stop", 0, 0.0), ("stop", 0, 0.5), ("stop", 1, 0.5)
)


def check(steps: list[Step]) -> None:
    violations = run_scenario(scenario_of(steps))
    assert not violations, f"{violations[:3]} of {len(violations)}: {describe(steps)}"


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=EXAMPLES_IN_CI,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
@given(steps=STEPS)
@example(steps=RESTARTS_WHILE_REPLICAS_DRAIN)
@example(steps=LAPSES_WHILE_REPLICAS_DRAIN)
@example(steps=START_ON_PAGES_OF_UNEQUAL_AGE)
@example(steps=REMOVALS_BEHIND_DROPPED_WATCHES)
@example(steps=ENTRY_THAT_CAN_NOT_BE_READ)
@example(steps=STOPS_UNDER_LOAD)
def test_any_series_of_troubles_keeps_the_rules(steps: list[Step]) -> None:
    check(steps)


@click.command()
@click.option("--minutes", type=float, default=1.0, show_default=True)
def main(minutes: float) -> None:
    """Check new series for some minutes; the first one that fails is printed."""
    end = time.monotonic() + 60.0 * minutes
    count = 0

    @settings(
        database=None,
        deadline=None,
        max_examples=EXAMPLES_IN_CI,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=STEPS)
    def run(steps: list[Step]) -> None:
        nonlocal count
        if time.monotonic() < end:
            count += 1
            check(steps)

    while time.monotonic() < end:
        run()
    click.echo(f"{count} series, no violation")


if __name__ == "__main__":
    main()
