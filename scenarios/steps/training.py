"""Run a trainer and check the samples that it receives."""

from behave import then
from behave import when

from scenarios.steps import cluster as cluster_steps
from standins import trainer as trainer_module


@when(
    'a trainer runs {steps:d} steps of {groups:d} groups '
    'of {samples:d} samples'
)
def run_steps(context, steps, groups, samples):
    start_steps(context, steps, groups, samples)
    finish_steps(context)


@when(
    'a trainer starts {steps:d} steps of {groups:d} groups '
    'of {samples:d} samples'
)
def start_steps(context, steps, groups, samples):
    trainer = context.world.new_trainer()
    schedule = trainer_module.Schedule(steps, groups, samples, 30, 0.2)
    context.world.background.append(
        context.world.executor.submit(
            trainer_module.run_schedule, trainer, schedule
        )
    )


@when('the trainer has finished')
def finish_steps(context):
    for future in context.world.background:
        future.result(timeout=90)


@when('the trainer has received {count:d} samples')
def wait_samples(context, count):
    trainer = context.world.trainer
    context.world.cluster.wait(
        lambda: len(trainer.entries) >= count, f'{count} samples', 60
    )


@when("the trainer's owner is killed")
def kill_owner(context):
    context.world.cluster.processes[context.world.trainer_owner()].kill()


@when("the trainer's owner is frozen")
def freeze_owner(context):
    owner = context.world.trainer_owner()
    context.world.step_data['owner'] = owner
    cluster_steps.freeze_instance(context, owner)


@when('the frozen owner resumes')
def resume_owner(context):
    cluster_steps.resume_instance(context, context.world.step_data['owner'])


@when('the response to a pull is lost and the owner is killed')
def lose_pull_response(context):
    """Pull a first batch, discard the response, and kill the owner."""
    world = context.world
    trainer = world.new_trainer()
    groups = trainer.make_groups(1, 8, 4, 30)
    trainer.announce(1)
    trainer.open_step(1, groups)
    lost = trainer._call(
        'POST',
        'steps/1/pull',
        {'cursor': '', 'version': 1, 'wait_s': 5, 'max_groups': 4},
    )
    assert lost['groups'], lost
    world.cluster.processes[world.trainer_owner()].kill()
    trainer.pull_step(1, groups)


@then('the trainer has received every sample exactly once')
def check_exactly_once(context):
    report = context.world.trainer.report()
    assert report.doubled == 0 and report.missing == 0, report
    assert report.samples > 0, report


@then('every sample is labelled with the weight versions of its tokens')
def check_labels(context):
    entries = context.world.trainer.entries
    wrong = [
        entry
        for entry in entries
        if entry.true_versions != set(entry.weight_versions)
    ]
    assert entries and not wrong, wrong[:3]


@then('some sample is labelled with more than one weight version')
def check_mixed_labels(context):
    entries = context.world.trainer.entries
    assert any(len(entry.weight_versions) > 1 for entry in entries)


@then('no sample lags more than {bound:d} versions')
def check_lag(context, bound):
    entries = context.world.trainer.entries
    late = [entry for entry in entries if entry.lag > bound]
    assert entries and not late, late[:3]


@then('within {seconds:g} s every engine has version {version:d}')
def check_engine_versions(context, seconds, version):
    cluster = context.world.cluster
    for index in range(3):
        name = f'peg-sizing-{index}'
        cluster.wait(
            lambda name=name: (
                cluster.call(name, 'GET', '/server_info')['weight_version']
                == str(version)
            ),
            f'{name} has version {version}',
            seconds,
        )


@when('version {version:d} is announced')
def announce(context, version):
    trainer = context.world.trainer or context.world.new_trainer()
    trainer.announce(version)


@then(
    'no engine accepted a weight order with a lower fence after a higher one'
)
def check_fences_increase(context):
    for index in range(3):
        shown = context.world.cluster.call(
            f'peg-sizing-{index}', 'GET', '/statistics'
        )
        orders = shown['orders']
        fences = [order['fence'] for order in orders]
        assert fences == sorted(fences), fences


@when('the holder of the weight lease is {fault}')
def fail_holder(context, fault):
    world = context.world
    name = None

    def found():
        nonlocal name
        name = cluster_steps.lease_holder(context)
        return name is not None

    world.cluster.wait(found, 'an instance holds the weight lease')
    world.step_data['holder'] = name
    if fault == 'frozen':
        cluster_steps.freeze_instance(context, name)
    else:
        world.cluster.processes[name].kill()


@when('another instance holds the weight lease')
def wait_other_holder(context):
    context.world.cluster.wait(
        lambda: (
            cluster_steps.lease_holder(context)
            not in (
                None,
                context.world.step_data['holder'],
            )
        ),
        'another instance holds the weight lease',
    )


@when('the former holder resumes')
def resume_holder(context):
    cluster_steps.resume_instance(context, context.world.step_data['holder'])


@then('within {seconds:g} s one instance holds the weight lease')
def check_one_holder(context, seconds):
    cluster = context.world.cluster

    def holders():
        return [
            name
            for name in context.world.live_instances()
            if cluster.call(name, 'GET', '/v1/status')['weight_leases']
        ]

    cluster.wait(
        lambda: len(holders()) == 1,
        'exactly one instance holds the weight lease',
        seconds,
    )


@when(
    'a step is generated and '
    'the trainer announces the next version before it pulls'
)
def advance_before_pull(context):
    """Generate all samples at version 1, then pull at version 2."""
    world = context.world
    trainer = world.new_trainer()
    groups = trainer.make_groups(1, 6, 4, 30)
    trainer.announce(1)
    trainer.open_step(1, groups)
    world.cluster.wait(
        lambda: (
            sum(
                world.cluster.counter(name, 'rollout.samples_committed')
                for name in world.live_instances()
            )
            >= 24
        ),
        'all samples are committed',
    )
    trainer.announce(2)
    trainer.pull_step(1, groups)
