"""Generate open-loop load: the rate does not depend on the responses."""

import concurrent.futures
import random
import time
import typing

from measure import deployments
from standins import router as router_module

THREADS = 256


class LoadReport(typing.NamedTuple):
    """Summarize the outcomes of an offered load."""

    offered_per_s: float
    good_per_s: float
    late: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    refusal_p99_ms: float


def offer(
    router: router_module.Router,
    path: str,
    per_second: float,
    duration_s: float,
    deadline_s: float,
    seed: int,
    keyed: bool,
) -> LoadReport:
    """Send requests with Poisson arrivals and summarize their outcomes."""
    rng = random.Random(seed)
    futures = []
    started = time.monotonic()
    due = started
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        number = 0
        while due - started < duration_s:
            due += rng.expovariate(per_second)
            time.sleep(max(0.0, due - time.monotonic()))
            key = f'{seed}-{number}' if keyed else None
            body = {'order': f'{seed}-{number}'}
            futures.append(
                pool.submit(router.send, path, body, deadline_s, key)
            )
            number += 1
        outcomes = [future.result() for future in futures]
    return summarize(outcomes, duration_s, deadline_s)


def summarize(
    outcomes: list[router_module.Outcome],
    duration_s: float,
    deadline_s: float,
) -> LoadReport:
    """Compute rates, counts and latency percentiles of the outcomes."""
    answered = [o for o in outcomes if o.delivered]
    good = [o for o in answered if o.elapsed_s <= deadline_s]
    refused = [o for o in outcomes if o.verdict == 'not_run']
    times_ms = [o.elapsed_s * 1000 for o in answered]
    return LoadReport(
        offered_per_s=round(len(outcomes) / duration_s, 1),
        good_per_s=round(len(good) / duration_s, 1),
        late=len(answered) - len(good),
        refused=len(refused),
        failed=len(outcomes) - len(answered) - len(refused),
        p50_ms=round(deployments.quantile(times_ms, 0.5), 1),
        p99_ms=round(deployments.quantile(times_ms, 0.99), 1),
        refusal_p99_ms=round(
            deployments.quantile([o.elapsed_s * 1000 for o in refused], 0.99),
            1,
        ),
    )
