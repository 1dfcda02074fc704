"""Send one attempt at a reward call to an upstream."""

import base64
import time
import typing

import structlog
import urllib3

from ..ports import callers
from ..ports import upstreams as upstream_port
from ..relaying import paths as paths_module
from ..upstreams import authenticity
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module

from . import runner
from . import state

LOG = structlog.get_logger(__name__)


class RewardResponse(typing.NamedTuple):
    """Describe how an attempt at a reward call ended."""

    outcome: runner.RunOutcome
    # Signature of the response; empty unless the attempt completed.
    score: str = ''
    # None if not stated.
    load: upstream_port.ReportedLoad | None = None
    # Seconds after which the upstream asks to retry; 0 if it does not.
    retry_after_s: float = 0.0
    # The upstream may be sound, but slow.
    timed_out: bool = False


class RewardClient:
    """Execute attempts over pooled connections."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        gateway: gateway_module.Gateway,
        paths: paths_module.Paths,
    ) -> None:
        self._protocol = protocol
        self._gateway = gateway
        self._paths = paths

    def call(self, attempt: state.RewardAttempt) -> RewardResponse:
        """Execute an attempt until it ends."""
        connection = self._paths.acquire(attempt.entry, attempt.task.id)
        attempt.abort = connection.abort
        if attempt.is_cancelled:
            connection.close()
            return RewardResponse(runner.RunOutcome.CANCELLED)
        timed_out = False
        try:
            return self._exchange(attempt, connection)
        except gateway_module.NoPermit:
            self._paths.release(connection)
            return RewardResponse(runner.RunOutcome.LIMITED)
        except connections_module.ConnectionFailed as error:
            outcome = runner.RunOutcome.UNREACHABLE
            failure = str(error)
        except connections_module.ResponseFailed as error:
            outcome = runner.RunOutcome.INTERRUPTED
            timed_out = isinstance(error, connections_module.ResponseTimedOut)
            failure = str(error)
        connection.close()
        if attempt.is_cancelled:
            return RewardResponse(runner.RunOutcome.CANCELLED)
        LOG.info(
            'reward call interrupted',
            request=attempt.task.id,
            upstream=attempt.entry.id,
            after_s=round(time.monotonic() - attempt.started_at, 3),
            error=failure,
        )
        return RewardResponse(outcome, timed_out=timed_out)

    def _exchange(
        self,
        attempt: state.RewardAttempt,
        connection: connections_module.Connection,
    ) -> RewardResponse:
        call = typing.cast(callers.RewardCall, attempt.task.item.reward_call)
        request = _build_request(call, attempt.task.batch.head.account)
        response, head = self._gateway.exchange(
            connection,
            attempt.entry,
            attempt.permit,
            gateway_module.Outgoing(
                request.id,
                request.method,
                request.target,
                self._protocol.request_headers(
                    request, attempt.entry.id, attempt.timeout_s
                ),
                request.body,
            ),
            attempt.timeout_s,
        )
        # The signature is the score; the body only has to be complete.
        connection.drain_body(response, attempt.timeout_s)
        if not authenticity.is_reliable(call.id, response.status, head):
            connection.close()
            return RewardResponse(runner.RunOutcome.INTERRUPTED)
        self._paths.release_or_close(connection, response)
        return _evaluate(response, head)


def _build_request(
    call: callers.RewardCall, account: str | None
) -> upstream_port.Request:
    return upstream_port.Request(
        id=call.id,
        method='POST',
        target=call.target,
        host=call.host,
        headers=[],
        body=base64.b64decode(call.body),
        account=account,
    )


def _evaluate(
    response: urllib3.HTTPResponse, head: upstream_port.ResponseHead
) -> RewardResponse:
    """Return what a complete response to the reward call means."""
    if response.status not in authenticity.SUCCESS:
        return RewardResponse(
            runner.classify_refusal(response.status, head),
            load=head.load,
            retry_after_s=_retry_after_s(response),
        )
    return RewardResponse(
        runner.RunOutcome.COMPLETED, head.signature, head.load
    )


def _retry_after_s(response: urllib3.HTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get('Retry-After', '0')))
    except ValueError:
        # The other form of the header, a date, needs synchronised clocks.
        return 0.0
