"""Send lookups, checklist entries and streams, and check the outcomes."""

import time

from behave import then
from behave import when

from scenarios import world as world_module


@when('traffic of lookups, entries and streams runs')
def start_traffic(context):
    context.world.traffic = world_module.Traffic(context.world)


@when('{count:d} more requests have completed')
def wait_requests(context, count):
    traffic = context.world.traffic
    goal = traffic.count() + count
    context.world.cluster.wait(
        lambda: traffic.count() >= goal, f'{count} requests', 60
    )


@when('the traffic stops')
def stop_traffic(context):
    context.world.traffic.stop()


@then('no request was truncated or lost')
def check_none_truncated(context):
    for kind, outcomes in context.world.traffic.outcomes.items():
        assert outcomes, f'no {kind} was sent'
        bad = [o for o in outcomes if o.verdict not in ('ran', 'not_run')]
        assert not bad, f'{kind}: {bad[:3]}'


@then('every lookup and stream got the complete response to its own request')
def check_own_responses(context):
    for kind in ('lookup', 'stream'):
        check_complete(kind, context.world.traffic.outcomes[kind])


def check_complete(kind, outcomes):
    """Check that there are complete responses and streams have 40 tokens."""
    whole = [o for o in outcomes if o.delivered]
    assert whole, f'no {kind} was answered'
    for outcome in whole:
        if kind == 'stream':
            assert len(outcome.body.split()) == 40, outcome


@then('no checklist entry ran twice')
def check_none_ran_twice(context):
    world = context.world
    executed_twice = [
        k for k in world.traffic.keys if world.execution_count(k) > 1
    ]
    assert not executed_twice, executed_twice


def entries_matching(context, matches):
    """Return the checklist entries whose outcome and executions match."""
    world = context.world
    pairs = zip(world.traffic.keys, world.traffic.outcomes['checklist'])
    return [
        (order, outcome)
        for order, outcome in pairs
        if matches(outcome, world.execution_count(order))
    ]


@then('every checklist entry with a response ran once')
def check_answered_ran_once(context):
    wrong = entries_matching(
        context, lambda outcome, runs: outcome.delivered and runs != 1
    )
    assert not wrong, wrong[:3]


@then('every checklist entry refused as not_run never ran')
def check_refused_not_run(context):
    wrong = entries_matching(
        context, lambda outcome, runs: outcome.verdict == 'not_run' and runs
    )
    assert not wrong, wrong[:3]


@when(
    'checklist entry {order} with key {key} is sent to {name} '
    'with a timeout of {seconds:g} s'
)
def send_entry(context, order, key, name, seconds):
    context.world.send_in_background(order, key, name, seconds)


@when('checklist entry {order} has started at the upstream')
def wait_started(context, order):
    context.world.cluster.wait(
        lambda: context.world.execution_count(order) == 1,
        f'{order} has started',
    )


@when('the append of the claim is delayed')
def wait_claim_delayed(context):
    cluster = context.world.cluster
    cluster.wait(
        lambda: cluster.call('log', 'GET', '/statistics')['held_back'] == 1,
        'the append of the claim is delayed',
    )


@when('all requests have completed')
def collect_responses(context):
    context.world.step_data['outcomes'] = context.world.collect_outcomes()


@then('the verdict of {order} is {expected}')
def check_verdict(context, order, expected):
    context.world.step_data.setdefault(
        'outcomes', context.world.collect_outcomes()
    )
    outcome = context.world.outcomes[order]
    assert outcome.verdict == expected, outcome


@then('one response for {order} has the verdict ran and none has not_run')
def check_one_ran(context, order):
    outcomes = context.world.step_data['outcomes']
    assert any(outcome.delivered for outcome in outcomes), outcomes
    assert all(outcome.verdict != 'not_run' for outcome in outcomes), outcomes


@then('no response for {order} has the verdict not_run')
def check_none_not_run(context, order):
    outcomes = context.world.step_data['outcomes']
    assert all(outcome.verdict != 'not_run' for outcome in outcomes), outcomes


@then('checklist entry {order} ran {count:d} times')
def check_executions(context, order, count):
    found = context.world.execution_count(order)
    assert found == count, f'{order} ran {found} times'


@then('checklist entry {order} ran at most once')
def check_at_most_once(context, order):
    found = context.world.execution_count(order)
    assert found <= 1, f'{order} ran {found} times'


@then('checklist entry {order} still ran {count:d} times after {seconds:g} s')
def check_executions_later(context, order, count, seconds):
    time.sleep(seconds)
    check_executions(context, order, count)


@then(
    'within {seconds:g} s checklist entry {order} with key {key} '
    'gets the verdict {expected}'
)
def check_verdict_by(context, seconds, order, key, expected):
    router = context.world.router('scenario')
    latest = []

    def has_verdict():
        latest[:] = [
            router.send(
                world_module.CHECKLIST_SERVICE, {'order': order}, 5.0, key
            )
        ]
        return latest[0].verdict == expected

    context.world.cluster.wait(
        has_verdict, f'{order}: {expected}, latest {latest}', seconds
    )


@when('{count:d} lookups are sent')
def send_lookups(context, count):
    run_lookups(context, count, context.world.router('scenario').send, 5.0)


@when('{count:d} lookups are sent and retried on not_run')
def send_lookups_until_answered(context, count):
    run_lookups(context, count, context.world.router('scenario').deliver, 20.0)


def run_lookups(context, count, send, timeout_s):
    """Send lookups concurrently and record their outcomes."""
    orders = [f'lookup-{number}' for number in range(count)]
    futures = [
        context.world.executor.submit(
            send, world_module.LOOKUP_SERVICE, {'order': order}, timeout_s
        )
        for order in orders
    ]
    context.world.step_data['lookups'] = {
        order: future.result(timeout=60)
        for order, future in zip(orders, futures, strict=True)
    }


@then('every lookup got the complete response to its own request')
def check_lookups(context):
    for order, outcome in context.world.step_data['lookups'].items():
        assert outcome.delivered, (order, outcome)
        assert outcome.body['order'] == order, (order, outcome)


@then('no lookup got a wrong or partial response')
def check_no_wrong_response(context):
    for order, outcome in context.world.step_data['lookups'].items():
        if outcome.delivered:
            assert outcome.body['order'] == order, (order, outcome)


@when('{count:d} streams of {tokens:d} tokens are sent')
def send_streams(context, count, tokens):
    send_streams_to(context, count, tokens, None)


@when('{count:d} streams of {tokens:d} tokens are sent to {name}')
def send_streams_to(context, count, tokens, name):
    world = context.world
    router = world.router('scenario')
    body = {'prompt': 'stream', 'max_tokens': tokens, 'stream': True}
    entry = None if name is None else world.entry(name)
    world.step_data['streams'] = [
        world.executor.submit(
            router.send, world_module.MODEL_SERVICE, body, 30.0, None, entry
        )
        for _ in range(count)
    ]


@then(
    'every stream is complete with {tokens:d} tokens or detected as truncated'
)
def check_streams(context, tokens):
    outcomes = [
        f.result(timeout=60) for f in context.world.step_data['streams']
    ]
    whole = [outcome for outcome in outcomes if outcome.delivered]
    assert whole, outcomes
    for outcome in whole:
        assert len(outcome.body.split()) == tokens, outcome
    # A truncated stream must break the connection; otherwise the caller
    # could not tell it from a complete response.
    silent = [o for o in outcomes if not o.delivered and o.status == 200]
    assert not silent, silent
    # A refusal is not a truncation: it is an immediate, final response.
    refused = [o for o in outcomes if o.verdict == 'not_run']
    context.world.step_data['truncated'] = (
        len(outcomes) - len(whole) - len(refused)
    )
    context.world.step_data['refused'] = refused


@then('at least {count:d} streams were detected as truncated')
def check_truncated_count(context, count):
    assert context.world.step_data['truncated'] >= count, (
        context.world.step_data
    )


@then('no stream was truncated')
def check_no_stream_truncated(context):
    step_data = context.world.step_data
    assert step_data['truncated'] == 0, step_data
    codes = {outcome.body['code'] for outcome in step_data['refused']}
    assert codes <= {'no_capacity'}, codes


@then(
    'every complete stream is labelled with the weight versions of its tokens'
)
def check_stream_labels(context):
    for future in context.world.step_data['streams']:
        outcome = future.result(timeout=60)
        if outcome.delivered:
            text_versions = {int(token[1:]) for token in outcome.body.split()}
            assert text_versions == set(outcome.versions), outcome


@then('within {seconds:g} s upstream {name} receives no new requests')
def check_no_new_requests(context, seconds, name):
    cluster = context.world.cluster
    path = '/executions'

    def started_count():
        shown = cluster.call(name, 'GET', path)['started']
        return sum(shown.values())

    traffic = context.world.traffic
    delivered = count_delivered(traffic)
    deadline = time.monotonic() + seconds
    last_change, latest = time.monotonic(), started_count()
    while time.monotonic() < deadline + 3:
        time.sleep(0.1)
        now = started_count()
        if now != latest:
            assert time.monotonic() < deadline, (
                f'{name} still receives requests'
            )
            last_change, latest = time.monotonic(), now
    assert time.monotonic() - last_change >= 3
    # No new requests prove something only while others are answered.
    grown = count_delivered(traffic) - delivered
    assert grown >= 20, f'only {grown} requests were answered in the meantime'


def count_delivered(traffic):
    """Return how many requests to plain services were answered."""
    return sum(
        outcome.delivered
        for kind in ('lookup', 'checklist')
        for outcome in list(traffic.outcomes[kind])
    )
