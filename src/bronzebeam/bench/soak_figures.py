"""Figures of a soak run, computed from its history."""

from collections import Counter

from bronzebeam.bench.history import History, RequestRow


def compute_soak_figures(history: History) -> dict[str, int]:
    """Count responses by outcome and reason, bookings, runs and acceptances."""
    counts: Counter[str] = Counter()
    for row in history.requests:
        kind = row.path.rpartition("/")[2]
        counts[f"{kind}_{row.outcome}"] += 1
        counts[f"callers_{row.exchange_result}"] += 1
        if row.reason:
            counts[f"{kind}_{row.outcome}_{row.reason}"] += 1
    counts += _count_bookings(history)
    counts["runs"] = len(history.runs)
    counts["acceptances"] = len(history.acceptances)
    counts["revision_rows"] = len(history.revisions)
    return dict(sorted(counts.items()))


def _count_bookings(history: History) -> Counter[str]:
    by_token: dict[str, list[RequestRow]] = {}
    for row in history.requests:
        if row.key is not None:
            by_token.setdefault(row.token, []).append(row)
    ran = {run.token for run in history.runs}
    counts = Counter(bookings=len(by_token))
    for token, rows in by_token.items():
        counts["bookings_under_offered_key"] += any(row.key != token for row in rows)
        if any(row.outcome == "answered" for row in rows):
            continue
        counts["bookings_never_answered"] += 1
        counts["bookings_never_answered_but_ran"] += token in ran
    return counts
