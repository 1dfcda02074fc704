"""Select one of the usable upstreams of a service."""

import itertools
import random
import typing

from .. import registry
from ..gen import tree as tree_schema
from ..members import entries

from . import upstreams


class BalancingContext(typing.NamedTuple):
    """Bundle the inputs of a policy other than the candidates."""

    settings: tree_schema.NodeSettings
    affinity_key: str
    rng: random.Random
    round_robin_counter: 'itertools.count[int]'


BalancingPolicy = typing.Callable[
    [list[upstreams.UpstreamState], BalancingContext], upstreams.UpstreamState
]
policies: registry.Registry[BalancingPolicy] = registry.Registry('choice')


@policies.register('round_robin')
def round_robin(
    candidates: list[upstreams.UpstreamState], context: BalancingContext
) -> upstreams.UpstreamState:
    """Return the candidates in rotation, regardless of load."""
    return candidates[next(context.round_robin_counter) % len(candidates)]


@policies.register('two_choices')
def two_choices(
    candidates: list[upstreams.UpstreamState], context: BalancingContext
) -> upstreams.UpstreamState:
    """Return the less loaded of two randomly sampled candidates."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = context.rng.sample(candidates, 2)
    slow_start_s = context.settings['slow_start_s']
    if second.score(slow_start_s) < first.score(slow_start_s):
        return second
    return first


@policies.register('prefix_affinity')
def prefix_affinity(
    candidates: list[upstreams.UpstreamState], context: BalancingContext
) -> upstreams.UpstreamState:
    """Return the candidate that ranks first for the affinity key.

    Candidates loaded beyond affinity_load_factor times the mean score are
    skipped (rendezvous hashing with bounded loads).
    """
    if not context.affinity_key:
        return two_choices(candidates, context)
    slow_start_s = context.settings['slow_start_s']
    scores = [state.score(slow_start_s) for state in candidates]
    bound = context.settings['affinity_load_factor'] * (
        sum(scores) / len(scores)
    )
    ranked = sorted(
        zip(candidates, scores, strict=True),
        key=lambda pair: entries.rendezvous_rank(
            context.affinity_key, pair[0].upstream.instance
        ),
    )
    for state, score in ranked:
        if score <= bound:
            return state
    return two_choices(candidates, context)
