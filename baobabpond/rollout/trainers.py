"""Serve each trainer at the instance that owns its session."""

import json
import threading
import time
import typing

from returns import result

from .. import metrics as metrics_module
from .. import verdicts
from ..gen.peer import ttypes
from ..http import adapters
from ..log import shared
from ..members import entries
from ..members import table as table_module
from ..peers import client as peer_client
from ..routing import router_manager
from ..settings import current as current_module
from ..weights import fold as version_fold

from . import generator
from . import session as session_module
from . import specs
from . import step as step_module

MAX_WAIT_S = 30.0
FORWARD_MARGIN_S = 2.0
ANNOUNCE_TIMEOUT_S = 5.0
DEFAULT_MAX_GROUPS = 64
SESSION_IDLE_S = 3600.0
OWNER_RETRY_S = 0.2
LOG_RETRY_S = 2.0

OPEN = 'open'
PULL = 'pull'
ANNOUNCE = 'announce'

Reply = result.Result[dict[str, typing.Any], verdicts.Refusal]


class TrainerCall(typing.NamedTuple):
    """Describe a trainer's call; path is the service's path plus a name."""

    operation: str
    path: str
    step: int
    fields: dict[str, typing.Any]

    @property
    def wait_s(self) -> float:
        """Return how long the trainer waits for groups, within MAX_WAIT_S."""
        wait_s = self.fields.get('wait_s', 0)
        if not isinstance(wait_s, int | float):
            return 0.0
        return min(max(0.0, float(wait_s)), MAX_WAIT_S)


class TrainerService:
    """Run the sessions of owned trainers; forward calls of the others."""

    def __init__(
        self,
        table: table_module.MemberTable,
        current: current_module.CurrentSettings,
        routers: router_manager.RouterManager,
        adapter_set: adapters.AdapterSet,
        log: shared.SharedLog,
        peers: peer_client.PeerClients,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._table = table
        self._current = current
        self._routers = routers
        self._adapters = adapter_set
        self._log = log
        self._versions = log.state.fold(version_fold.VersionFold)
        self._peers = peers
        self._metrics = metrics
        self._lock = threading.Lock()
        self._sessions: dict[str, session_module.Session] = {}

    def call(self, call: TrainerCall) -> Reply:
        """Serve a call, or forward it to the owner of the trainer."""
        if not self._current.tree.has_service(call.path):
            return result.Failure(
                verdicts.bad_request(
                    'unknown_service',
                    f'no service for {call.path!r}',
                    404,
                )
            )
        if not isinstance(call.fields.get('version'), int):
            return result.Failure(
                verdicts.bad_request('bad_version', 'version: not an integer')
            )
        owner = self.owner(call.path)
        if owner.instance == self._table.own.instance:
            return self.serve_locally(call)
        return self._forward(owner, call)

    def owner(self, path: str) -> ttypes.Member:
        """Return the instance that owns a trainer, by rendezvous hashing."""
        candidates = self._table.serving() or [self._table.own]
        return min(
            candidates,
            key=lambda member: entries.rendezvous_rank(path, member.instance),
        )

    def serve_locally(self, call: TrainerCall) -> Reply:
        """Serve a call at this instance."""
        self._stop_idle_sessions()
        if call.operation == OPEN:
            return self._open(call)
        if call.operation == PULL:
            return self._pull(call)
        return self._announce(call)

    def stop_foreign_sessions(self) -> None:
        """Stop the sessions of trainers that another instance now owns."""
        with self._lock:
            foreign_paths = [
                path
                for path in self._sessions
                if self.owner(path).instance != self._table.own.instance
            ]
            for path in foreign_paths:
                self._metrics.count('rollout.sessions_moved')
                self._sessions.pop(path).stop()

    def stop(self) -> None:
        """Stop all sessions."""
        with self._lock:
            for session in self._sessions.values():
                session.stop()
            self._sessions.clear()

    def _open(self, call: TrainerCall) -> Reply:
        parsed = specs.parse_step(call.step, call.fields)
        return parsed.map(lambda spec: self._open_step(call, spec))

    def _open_step(
        self, call: TrainerCall, spec: specs.StepSpec
    ) -> dict[str, typing.Any]:
        session = self._session(call.path)
        session.open(spec, call.fields['version'])
        return {'step': spec.number, 'cursor': ''}

    def _pull(self, call: TrainerCall) -> Reply:
        max_groups = call.fields.get('max_groups', DEFAULT_MAX_GROUPS)
        if not isinstance(max_groups, int) or max_groups < 1:
            return result.Failure(
                verdicts.bad_request('bad_step', 'max_groups: below 1')
            )
        outcome = self._session(call.path).pull(
            call.step,
            call.fields.get('cursor', ''),
            call.fields['version'],
            max_groups,
            time.monotonic() + call.wait_s,
        )
        return outcome.map(_pull_result_json)

    def _announce(self, call: TrainerCall) -> Reply:
        service = '/'.join(call.path.split('/')[:2])
        version = call.fields['version']
        pending = self._log.writer.submit(
            {'type': 'version', 'service': service, 'version': version}
        )
        deadline = time.monotonic() + ANNOUNCE_TIMEOUT_S
        if not self._log.state.wait_for(
            lambda: (self._versions.get(service) or -1) >= version, deadline
        ):
            self._log.writer.cancel(pending)
            return result.Failure(
                verdicts.unavailable(
                    'log_down',
                    'the log takes no announcement',
                    LOG_RETRY_S,
                )
            )
        with self._lock:
            session = self._sessions.get(call.path)
        if session is not None:
            session.announce(version)
        return result.Success({'version': version})

    def _session(self, path: str) -> session_module.Session:
        with self._lock:
            session = self._sessions.get(path)
            if session is None:
                session = self._new_session(path)
                self._sessions[path] = session
            return session

    def _new_session(self, path: str) -> session_module.Session:
        service = '/'.join(path.split('/')[:2])

        def get_settings() -> typing.Any:
            return self._current.tree.effective(path)

        sample_generator = generator.Generator(
            path,
            self._routers.get(service),
            self._adapters.get(get_settings()),
            get_settings,
            self._metrics,
        )
        return session_module.Session(
            get_settings,
            sample_generator.generate,
            sample_generator.is_ejected,
            self._metrics,
        )

    def _stop_idle_sessions(self) -> None:
        cutoff = time.monotonic() - SESSION_IDLE_S
        with self._lock:
            for path, session in list(self._sessions.items()):
                if session.last_called_at < cutoff:
                    self._sessions.pop(path).stop()

    def _forward(self, owner: ttypes.Member, call: TrainerCall) -> Reply:
        message = ttypes.TrainerCall(
            operation=call.operation,
            path=call.path,
            body=json.dumps(
                {'step': call.step, 'fields': call.fields}
            ).encode(),
            timeout_ms=int((call.wait_s + FORWARD_MARGIN_S) * 1000),
        )
        try:
            reply = self._peers.trainer_call(owner, message)
        except peer_client.PeerError:
            self._metrics.count('rollout.owner_unreachable')
            return result.Failure(
                verdicts.unavailable(
                    'owner_unreachable',
                    'the instance that owns the trainer did not answer',
                    OWNER_RETRY_S,
                )
            )
        return decode_reply(reply)


def decode_call(message: ttypes.TrainerCall) -> TrainerCall:
    """Return the call in a message from another instance."""
    body = json.loads(message.body)
    return TrainerCall(
        message.operation, message.path, body['step'], body['fields']
    )


def encode_reply(reply: Reply) -> ttypes.TrainerReply:
    """Return the message for a reply to the forwarding instance."""
    if isinstance(reply, result.Success):
        return ttypes.TrainerReply(
            status=200, body=json.dumps(reply.unwrap()).encode()
        )
    refusal = reply.failure()
    fields = refusal._replace(verdict=refusal.verdict.value)._asdict()
    return ttypes.TrainerReply(
        status=refusal.status, body=json.dumps(fields).encode()
    )


def decode_reply(message: ttypes.TrainerReply) -> Reply:
    """Return the reply that encode_reply wrote."""
    fields = json.loads(message.body)
    if message.status == 200:
        return result.Success(fields)
    fields['verdict'] = verdicts.Verdict(fields['verdict'])
    return result.Failure(verdicts.Refusal(**fields))


def _pull_result_json(
    pull_result: session_module.PullResult,
) -> dict[str, typing.Any]:
    return {
        'cursor': str(pull_result.cursor),
        'done': pull_result.done,
        'groups': [
            {
                'name': group.name,
                'samples': [_sample_json(sample) for sample in group.samples],
            }
            for group in pull_result.groups
        ],
    }


def _sample_json(sample: step_module.Sample) -> dict[str, typing.Any]:
    return {
        'text': sample.text,
        'tokens': sample.tokens,
        'weight_versions': list(sample.weight_versions),
        'age_s': round(time.monotonic() - sample.generated_at, 3),
    }
