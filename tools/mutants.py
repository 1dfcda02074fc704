"""Disable one mechanism at a time and check that its check fails."""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
IGNORED = shutil.ignore_patterns('.git', '.venv', '__pycache__', 'docs')
TIMEOUT_S = 240


class Mutant(typing.NamedTuple):
    """Describe a source change that must make a scenario or a test fail."""

    promise: int
    mechanism: str
    path: str
    original: str
    replacement: str
    scenario: str = ''
    # Name of a unit test, in place of a scenario.
    unit_test: str = ''


MUTANTS = (
    Mutant(
        1,
        'unknown versions are quarantined',
        'baobabpond/http/completions.py',
        'if not label.isdigit():\n                self._fail',
        'if not label.isdigit():\n                continue\n'
        '                self._fail',
        'A swap fails and leaves an engine on an unknown version',
    ),
    Mutant(
        1,
        'labels come from each event',
        'baobabpond/http/completions.py',
        'return tuple(self._versions)',
        'return tuple(self._versions)[:1]',
        'A swap falls in the middle of streams',
    ),
    Mutant(
        2,
        'staleness is checked at hand-off',
        'baobabpond/rollout/step.py',
        'and slot.sample.lag(trainer_version) > bound',
        'and False',
        'The trainer moves on in the middle of a step with a bound of 0',
    ),
    Mutant(
        3,
        "the trainer's cursor is authoritative",
        'baobabpond/rollout/session.py',
        'specs.parse_cursor(cursor_text, step.spec)',
        "specs.parse_cursor('', step.spec)",
        'The owner is killed between hand-off and acknowledgement',
    ),
    Mutant(
        4,
        'a truncated stream is not terminated as if complete',
        'baobabpond/http/completions.py',
        'self._fail(router.CUT_CODE, str(error))',
        'return',
        'An engine is killed while it streams',
    ),
    Mutant(
        4,
        'responses are matched to their requests',
        'baobabpond/http/adapters.py',
        'if echoed_id is not None and echoed_id != request.request_id:',
        'if False:',
        'A service cuts, crosses and loses answers',
    ),
    Mutant(
        5,
        'a refused request is not sent',
        'baobabpond/claims/executor.py',
        'return result.Failure(_log_down())',
        'return dispatch()',
        'The log is down',
    ),
    Mutant(
        5,
        'a claim that is appended late is released',
        'baobabpond/claims/executor.py',
        'if self._holds_claim(claim.key, claim.claim_id):',
        'if False:',
        'A claim lands after its request was given up',
    ),
    Mutant(
        6,
        'a key is claimed before it runs',
        'baobabpond/http/callers.py',
        "if request.settings['idempotent']:\n            return dispatch()",
        'if True:\n            return dispatch()',
        'The same key reaches two instances at once',
    ),
    Mutant(
        6,
        'snapshots preserve keys beyond the log retention',
        'baobabpond/claims/fold.py',
        'return {key: list(entry) for key, entry in self._entries.items()}',
        'return {}',
        'Retention passes between the first and the second request',
    ),
    Mutant(
        7,
        'leaving upstreams are not routed to',
        'baobabpond/routing/upstreams.py',
        'if not state.leaving]',
        ']',
        'The instance list says so, with a lag',
    ),
    Mutant(
        7,
        'the settings can mark upstreams as leaving',
        'baobabpond/routing/router_manager.py',
        "leaving = set(settings['leaving_upstreams'])",
        'leaving = set()',
        'The settings say so while an instance is cut from the log',
    ),
    Mutant(
        8,
        'a leaving instance completes its requests in flight',
        'baobabpond/instance.py',
        "drained = self._limiter.wait_until_idle(settings['drain_timeout_s'])",
        'os._exit(0)',
        'An instance leaves during long streams while another is frozen',
    ),
    Mutant(
        9,
        'a publish based on an old revision is refused',
        'baobabpond/settings/fold.py',
        "if item['base_revision'] != self._revision:",
        'if False:',
        'Operators race each other',
    ),
    Mutant(
        9,
        'settings spread by gossip',
        'baobabpond/settings/sync.py',
        'if not ahead:',
        'if True:',
        'An instance is cut from the log',
    ),
    Mutant(
        9,
        'the settings revision never decreases',
        'baobabpond/settings/current.py',
        'if settings.revision <= self._settings.revision:',
        'if settings.revision == self._settings.revision:',
        'An instance is cut from the log',
    ),
    Mutant(
        3,
        'a complete output is on the log before its reward call',
        'baobabpond/pool/scheduler.py',
        'if task.is_output_persisted:',
        'if True:',
        unit_test='test.emulator.test_rewards.RewardTest'
        '.test_owner_lost_between_output_and_score',
    ),
    Mutant(
        4,
        'a score is the signature of the reward call',
        'baobabpond/pool/reward_client.py',
        'if not authenticity.is_reliable(call.id, response.status, head):',
        'if False:',
        unit_test='test.emulator.test_rewards.RewardTest'
        '.test_unsigned_responses_are_asked_for_again',
    ),
    Mutant(
        7,
        'an announced shutdown takes an upstream out',
        'baobabpond/catalogue/directory.py',
        'if not head.is_leaving or head.misdirected:',
        'if True:',
        unit_test='test.emulator.test_leaving.LeavingTest'
        '.test_plain_service_without_the_store',
    ),
    Mutant(
        5,
        'a request is refused after three crashes',
        'baobabpond/crashes/registry.py',
        'if crashes >= MAX_CRASHES and is_recent:',
        'if False:',
        unit_test='test.edge.test_forwarder.CrashTest'
        '.test_poison_is_refused_without_a_run',
    ),
    Mutant(
        5,
        'suspects run apart from one another',
        'baobabpond/crashes/isolation.py',
        'free = [e for e in entries if e.incarnation not in self._running]',
        'free = entries',
        unit_test='test.edge.test_forwarder.CrashTest'
        '.test_innocents_of_one_crash_are_answered',
    ),
    Mutant(
        7,
        'one instance issues the permits of limited upstreams',
        'baobabpond/ratelimits/issuer.py',
        'self._get_authority = get_authority',
        'self._get_authority = lambda: Authority(1, True)',
        unit_test='test.emulator.test_request_limits.LimitedPlainServiceTest'
        '.test_limit_is_kept_by_all_instances_together',
    ),
    Mutant(
        7,
        'a permit expires while its process is paused',
        'baobabpond/ratelimits/permits.py',
        'return clock.since_boot_s() < permit.expires_at_boot_s',
        'return True',
        unit_test='test.ratelimits.test_permits.OwnerTest'
        '.test_expired_permit_is_void',
    ),
    Mutant(
        4,
        'streams of a version other than the default are recorded',
        'baobabpond/streams/origins.py',
        'if unsettled is None and origin.software == default:',
        'if True:',
        unit_test='test.emulator.test_software_versions.StreamResumptionTest'
        '.test_resumption_after_the_loss_of_all_instances',
    ),
    Mutant(
        4,
        'an output resumes only at its software version',
        'baobabpond/pool/fleet.py',
        'return not task.events or upstream.entry.software == task.software',
        'return True',
        unit_test='test.emulator.test_software_versions.ItemTest'
        '.test_items_are_not_joined_from_two_versions',
    ),
    Mutant(
        4,
        'a connection for streams is checked against the registration',
        'baobabpond/upstreams/gateway.py',
        'if connection.born not in (0, entry.born):',
        'if False:',
        unit_test='test.emulator.test_software_versions.RestartedSamplerTest'
        '.test_stream_of_a_sampler_with_an_old_registration',
    ),
    Mutant(
        5,
        'a cut is told from upstreams that are down for all',
        'baobabpond/reachability/judgement.py',
        'if any(entry.id in reached_by_peers for entry in failing):',
        'if failing:',
        unit_test='test.reachability.test_monitor',
    ),
    Mutant(
        4,
        'a relayed response that is cut does not look whole',
        'baobabpond/edge/relay_handler.py',
        'exchange.abort()',
        'pass',
        unit_test='test.relaying.test_relay',
    ),
    Mutant(
        6,
        'what the relaying instance may have sent is not called unsent',
        'baobabpond/relaying/connection.py',
        'wire.Outcome.CUT: connections_module.ResponseFailed',
        'wire.Outcome.CUT: connections_module.ConnectionFailed',
        unit_test='test.relaying.test_relay',
    ),
    Mutant(
        4,
        'the end of a connection does not end a head',
        'baobabpond/transport/bounded.py',
        'if count == 0 and self._has_data and not self.may_end:',
        'if False:',
        unit_test='test.transport.test_framing',
    ),
    Mutant(
        4,
        'a field has the form of one',
        'baobabpond/transport/heads.py',
        "raise MalformedResponse(f'field {line[:MAX_SHOWN_BYTES]!r}')",
        "return Field(b'A', line)",
        unit_test='test.transport.test_heads',
    ),
    Mutant(
        4,
        'a status line has the form of one',
        'baobabpond/transport/heads.py',
        'status_line = _read_line(reader)',
        "status_line = b'HTTP/1.1 200 OK' if _read_line(reader) else b''",
        unit_test='test.transport.test_heads',
    ),
    Mutant(
        4,
        'trailers have the form of fields',
        'baobabpond/transport/framing.py',
        'heads.parse_field(line)',
        'pass',
        unit_test='test.transport.test_heads',
    ),
    Mutant(
        4,
        'sizes of chunks are digits',
        'baobabpond/transport/framing.py',
        '(?P<size>[0-9A-Fa-f]+)',
        '(?P<size>[+_ 0-9A-Fa-f]+)',
        unit_test='test.transport.test_framing',
    ),
    Mutant(
        4,
        'interim heads are not the answer',
        'baobabpond/transport/heads.py',
        'range(100, 200)',
        'range(100, 101)',
        unit_test='test.transport.test_heads',
    ),
    Mutant(
        4,
        'no protocol but HTTP is an answer',
        'baobabpond/transport/heads.py',
        "raise MalformedResponse('another protocol')",
        'return status_line',
        unit_test='test.transport.test_heads',
    ),
    Mutant(
        4,
        'chunks end where their size says',
        'baobabpond/transport/framing.py',
        'if data != heads.LINE_END:',
        'if False:',
        unit_test='test.transport.test_framing',
    ),
    Mutant(
        4,
        'all transfer codings count',
        'baobabpond/transport/bounded.py',
        '[coding.lower() for coding in codings] == [CHUNKED]',
        'self.chunked',
        unit_test='test.transport.test_framing',
    ),
    Mutant(
        9,
        'compressed answers are refused',
        'baobabpond/transport/pools.py',
        "options['decode_content'] = False",
        'pass',
        unit_test='test.transport.test_bounded.EndlessAnswerTest'
        '.test_compressed_bodies',
    ),
    Mutant(
        9,
        'clients of the standalone program are bounded',
        'baobabpond/transport/pools.py',
        "'http': BoundedPool,",
        "'http': urllib3.HTTPConnectionPool,",
        unit_test='test.transport.test_bounded.EndlessAnswerTest'
        '.test_bodies_without_length',
    ),
    Mutant(
        9,
        'declared sizes are bounded',
        'baobabpond/transport/bounded.py',
        'self._budget.check(amt - io.DEFAULT_BUFFER_SIZE)',
        'pass',
        unit_test='test.transport.test_bounded.EndlessAnswerTest'
        '.test_declared_lengths',
    ),
    Mutant(
        9,
        'reports have a limit of their own',
        'baobabpond/upstreams/connections.py',
        'self.iter_body(response, timeout_s, max_bytes=MAX_REPORT_BYTES)',
        'self.iter_body(response, timeout_s)',
        unit_test='test.isolated.test_endless_answers.EndlessAnswersTest'
        '.test_reports_until_the_close',
    ),
    Mutant(
        9,
        'the number of heaps is limited',
        'baobabpond/allocator.py',
        'and mallopt(M_ARENA_MAX, MAX_HEAPS)',
        'and True',
        unit_test='test.isolated.test_endless_answers.EndlessAnswersTest'
        '.test_large_bodies',
    ),
    Mutant(
        8,
        'a draining instance takes nothing that would be cut',
        'baobabpond/edge/draining.py',
        'if now + limit_s + MARGIN_S <= drain.ends_at:',
        'if True:',
        unit_test='test.edge.test_draining',
    ),
    Mutant(
        9,
        'keys are refused while their removal may have been missed',
        'baobabpond/accounts/decision.py',
        'if max_s is not None and staleness_s > max_s:',
        'if False:',
        unit_test='test.emulator.test_accounts.RevocationTest'
        '.test_store_is_away',
    ),
    Mutant(
        9,
        'a proof counts from when its read was sent',
        'baobabpond/store/follower.py',
        'self._record_complete(sent_boot_s)',
        'self._record_complete(clock.since_boot_s())',
        unit_test='test.store.test_follower.FollowerTest'
        '.test_staleness_includes_the_time_of_the_read',
    ),
    Mutant(
        9,
        'a batch belongs to the account that submitted it',
        'baobabpond/accounts/decision.py',
        'return not batch_account or batch_account == account',
        'return True',
        unit_test='test.emulator.test_accounts.AccountsTest.test_batches',
    ),
    Mutant(
        9,
        'no key is forwarded',
        'platform/users_platform/upstreams.py',
        'dropped |= {KEY_HEADER.lower(), ACCOUNT_HEADER.lower()}',
        'pass',
        unit_test='test.emulator.test_accounts.AccountsTest.test_requests',
    ),
    Mutant(
        3,
        'the report of a window is appended only if there is none',
        'baobabpond/usage/reporter.py',
        'expected_end=end,',
        'expected_end=None,',
        unit_test='test.usage.test_reporter',
    ),
    Mutant(
        3,
        'a report that is recorded and not acknowledged is sent again',
        'baobabpond/usage/reporter.py',
        'if not self._send(report):\n                break',
        'self._send(report)',
        unit_test='test.usage.test_reporter',
    ),
    Mutant(
        3,
        'an older count that arrives late does not replace a newer one',
        'baobabpond/usage/shared_counts.py',
        'if value.counts.revision > known.revision:',
        'if True:',
        unit_test='test.usage.test_sharing',
    ),
    Mutant(
        3,
        'requests that have not run do not count',
        'baobabpond/usage/request.py',
        'if self._mark is not None and not self._is_certain:',
        'if False:',
        unit_test='test.edge.test_attempt_usage',
    ),
    Mutant(
        3,
        'a new holder of the duties waits for the lease',
        'baobabpond/duties/holder.py',
        'if clock.since_boot_s() - tenure.began_boot_s < self._lease_s:',
        'if False:',
        unit_test='test.duties.test_duties',
    ),
    Mutant(
        3,
        'the lease is checked right before a call',
        'baobabpond/duties/single_call.py',
        'if not context.may_send():',
        'if False:',
        unit_test='test.platform_plugin.test_control',
    ),
    Mutant(
        3,
        'a refused token is not used again',
        'baobabpond/duties/caller.py',
        'self._record_refusal(subject, duty)',
        'pass',
        unit_test='test.duties.test_duties',
    ),
    Mutant(
        3,
        'a time of day that is off is corrected',
        'baobabpond/usage/time_of_day.py',
        'return time.time() - self.difference_s',
        'return time.time()',
        unit_test='test.usage.test_request',
    ),
    Mutant(
        10,
        'the line before a chunk is bounded',
        'baobabpond/edge/chunked.py',
        'line = self._reader.readline(limit)',
        'line = self._reader.readline(1 << 30)',
        unit_test='test.edge.test_chunked',
    ),
    Mutant(
        10,
        'the framing of chunks is bounded',
        'baobabpond/edge/chunked.py',
        'if excess > self._limits.chunk_framing_bytes:',
        'if False:',
        unit_test='test.edge.test_chunked',
    ),
    Mutant(
        10,
        'trailers are bounded',
        'baobabpond/edge/chunked.py',
        'left -= len(line)',
        'left -= 0',
        unit_test='test.edge.test_chunked',
    ),
    Mutant(
        10,
        'the size of a body in chunks is bounded',
        'baobabpond/edge/chunked.py',
        'if self._max_bytes and len(body) + size > self._max_bytes:',
        'if False:',
        unit_test='test.edge.test_chunked',
    ),
    Mutant(
        10,
        'a head as a whole has a time-out',
        'baobabpond/edge/acceptor.py',
        'for connection in late:',
        'for connection in late[:0]:',
        unit_test='test.edge.test_untrusted.HeadTest.test_slow_head',
    ),
    Mutant(
        10,
        'an idle connection has a time-out',
        'baobabpond/edge/acceptor.py',
        'for connection in idle:',
        'for connection in idle[:0]:',
        unit_test='test.edge.test_untrusted.HeadTest'
        '.test_connection_without_a_request',
    ),
    Mutant(
        10,
        'the bytes of a head are bounded',
        'baobabpond/edge/acceptor.py',
        'or len(head) > self._server.max_request_header_size',
        'or False',
        unit_test='test.edge.test_untrusted.HeadTest.test_large_heads',
    ),
    Mutant(
        10,
        'the lines of a head are bounded',
        'baobabpond/edge/server.py',
        'if lines > limit and self._count_header_lines() > limit:',
        'if False:',
        unit_test='test.edge.test_untrusted.HeadTest.test_many_header_lines',
    ),
    Mutant(
        10,
        'heads that are not whole are bounded together',
        'baobabpond/edge/acceptor.py',
        'while self._waiting.head_bytes > limit:',
        'while False:',
        unit_test='test.edge.test_untrusted.HeadMemoryTest',
    ),
    Mutant(
        10,
        'connections are bounded',
        'baobabpond/edge/acceptor.py',
        'is_full = self._open > self._server.client_limits.connections',
        'is_full = False',
        unit_test='test.edge.test_untrusted.ConnectionsTest'
        '.test_number_is_bounded',
    ),
    Mutant(
        10,
        'the address with the most connections loses one',
        'baobabpond/edge/waiting.py',
        'most = max(self._idle.values(), key=len)',
        'most = next(iter(self._idle.values()))',
        unit_test='test.edge.test_untrusted.ConnectionsTest'
        '.test_address_with_most_connections_loses_them',
    ),
    Mutant(
        10,
        'frames of peers are bounded',
        'baobabpond/peers/frames.py',
        'if self._size > self._limits.peer_frame_bytes:',
        'if False:',
        unit_test='test.peers.test_thrift_server'
        '.ThriftServerTest.test_huge_announced_frame',
    ),
    Mutant(
        10,
        'a frame has a time-out as a whole',
        'baobabpond/peers/frames.py',
        'self._socket.settimeout(remaining_s)',
        'self._socket.settimeout(None)',
        unit_test='test.peers.test_thrift_server'
        '.ThriftServerTest.test_half_a_frame',
    ),
    Mutant(
        10,
        'containers of peers are bounded',
        'baobabpond/peers/frames.py',
        'elements > self._limits.peer_container_items',
        'False',
        unit_test='test.peers.test_thrift_server'
        '.ThriftServerTest.test_huge_announced_container',
    ),
    Mutant(
        10,
        'the frames of peers are bounded together',
        'baobabpond/peers/connections.py',
        'while self._used_bytes > self._memory_bytes:',
        'while False:',
        unit_test='test.peers.test_thrift_server'
        '.CrowdTest.test_many_frames_that_are_not_whole',
    ),
    Mutant(
        10,
        'connections of peers are bounded',
        'baobabpond/peers/connections.py',
        'is_full = len(self._open) >= self._limits.connections',
        'is_full = False',
        unit_test='test.peers.test_thrift_server'
        '.CrowdTest.test_many_connections',
    ),
    Mutant(
        10,
        'the queue for threads is bounded',
        'baobabpond/edge/acceptor.py',
        'self._server.client_limits.queued_requests',
        '1 << 30',
        unit_test='test.edge.test_untrusted.QueueTest',
    ),
    Mutant(
        10,
        'a body has a lowest rate',
        'baobabpond/edge/pace.py',
        '+ self._bytes / self._limits.min_client_bytes_per_s',
        '+ self._bytes',
        unit_test='test.edge.test_untrusted.SlowClientsTest.test_slow_body',
    ),
    Mutant(
        10,
        'a silent client has a time-out',
        'baobabpond/edge/pace.py',
        'left_s = min(self._silence_s, allowed_s)',
        'left_s = allowed_s',
        unit_test='test.edge.test_untrusted.SilentClientsTest',
    ),
    Mutant(
        10,
        'slow clients occupy a part of the threads',
        'baobabpond/edge/pace.py',
        'if len(self._holders) >= self._slots:',
        'if False:',
        unit_test='test.edge.test_untrusted.SlowClientsTest'
        '.test_slow_bodies_leave_threads',
    ),
    Mutant(
        10,
        'a reader has a lowest rate',
        'baobabpond/edge/client_io.py',
        'self._wait()\n                continue',
        'continue',
        unit_test='test.edge.test_untrusted.SlowClientsTest'
        '.test_unread_response',
    ),
    Mutant(
        10,
        'the buffers of the system are bounded',
        'baobabpond/edge/server.py',
        'self.socket.setsockopt(socket.SOL_SOCKET, option, size)',
        'pass',
        unit_test='test.edge.test_untrusted.SlowClientsTest'
        '.test_buffers_of_the_system',
    ),
    Mutant(
        10,
        'connections that linger are bounded',
        'baobabpond/edge/lingering.py',
        'if len(self._close_at) >= self._max_connections:',
        'if False:',
        unit_test='test.edge.test_untrusted.LingeringTest',
    ),
    Mutant(
        10,
        'a slow body does not keep its memory',
        'baobabpond/edge/body_memory.py',
        'slowest.evict()',
        'pass',
        unit_test='test.edge.test_untrusted.BodyMemoryTest'
        '.test_slow_body_makes_room',
    ),
    Mutant(
        10,
        'body memory is kept for other addresses',
        'baobabpond/edge/body_memory.py',
        'return not is_contended or used + size <= self._address_bytes',
        'return True',
        unit_test='test.edge.test_untrusted.BodyMemoryTest'
        '.test_part_is_kept_for_other_addresses',
    ),
    Mutant(
        10,
        'lengths that programs read differently are refused',
        'baobabpond/edge/server.py',
        'if not CONTENT_LENGTH.fullmatch(length):',
        'if False:',
        unit_test='test.edge.test_untrusted.HeadTest.test_invalid_heads',
    ),
    Mutant(
        10,
        'few bodies in small chunks are read at a time',
        'baobabpond/edge/chunked.py',
        'self._begin_small_chunks()\n',
        'pass\n',
        unit_test='test.edge.test_chunked',
    ),
)


def is_detected(mutant: Mutant) -> bool:
    """Return whether the check fails in a mutated copy of the project.

    Exits if the source no longer contains the original code.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'copy'
        shutil.copytree(ROOT, copy, ignore=IGNORED)
        path = copy / mutant.path
        text = path.read_text(encoding='utf-8')
        if mutant.original not in text:
            raise SystemExit(
                f'{mutant.path}: does not contain {mutant.original!r}'
            )
        path.write_text(
            text.replace(mutant.original, mutant.replacement), 'utf-8'
        )
        if mutant.unit_test:
            return not _run_in(copy, ['unittest', mutant.unit_test])[0]
        output = _run_in(copy, ['behave', '-n', mutant.scenario, 'scenarios'])
        # If no scenario has the name, behave succeeds without running any.
        if '1 scenario passed' in output[1]:
            return False
        return ' 1 failed' in output[1] or ' 1 error' in output[1]


def _run_in(folder: pathlib.Path, module: list[str]) -> tuple[bool, str]:
    """Run a module in a copy of the project.

    Returns whether it succeeded, and its output.
    """
    completed = subprocess.run(
        [sys.executable, '-m', *module],
        cwd=folder,
        env={'PYTHONPATH': str(folder), 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return completed.returncode == 0, completed.stdout


def main() -> None:
    """Run all mutants, or those of one promise."""
    arguments = argparse.ArgumentParser(prog='./run mutants')
    arguments.add_argument('--promise', type=int)
    options = arguments.parse_args()
    undetected = 0
    for mutant in MUTANTS:
        if options.promise not in (None, mutant.promise):
            continue
        detected = is_detected(mutant)
        undetected += not detected
        print(
            f'promise {mutant.promise}, without "{mutant.mechanism}": '
            f'{"detected" if detected else "NOT DETECTED"}',
            flush=True,
        )
    sys.exit(1 if undetected else 0)


if __name__ == '__main__':
    main()
