"""Speak the OpenAI completions API to model engines."""

import collections.abc
import json
import re
import time
import typing

from returns import result
import urllib3

from .. import answers
from .. import verdicts
from ..routing import service
from ..routing import streams
from ..routing import upstreams

from . import adapters

SERVER_INFO_PATH = '/server_info'
UPDATE_WEIGHTS_PATH = '/update_weights_from_disk'
EVENT_END = b'\n\n'
DATA_PREFIX = b'data: '
DONE_EVENT = b'data: [DONE]\n\n'
VERSION_PATTERN = re.compile(rb'(?<!\\)"weight_version":\s*"([^"]*)"')
UNLABELLED_CODE = 'unlabelled'
MALFORMED_CODE = 'malformed'
PROGRESS_EVENTS = 8
PAUSE_S = 0.02
GATHER_S = 0.001


class IncompleteStreamError(Exception):
    """Report that a streamed answer did not end as a whole one."""


class CompletionStream(streams.Stream):
    """Check the labels and the end marker of a streamed completion."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> None:
        super().__init__()
        self._response = response
        self._deadline = deadline
        self._blocks = self._read_blocks()
        self._first: bytes | None = None
        self._versions: dict[int, None] = {}
        self._events = 0
        self._marked_events = 0
        self._marked_at = 0.0
        self._end_code: str | None = streams.CANCELLED_CODE

    @property
    def units(self) -> int:
        """Return the events received so far, one a token."""
        return self._events

    @property
    def end_code(self) -> str | None:
        """Return why the answer is not whole, or None if it is."""
        return self._end_code

    @property
    def weight_versions(self) -> tuple[int, ...]:
        """Return the versions that produced the answer, in order."""
        return tuple(self._versions)

    def read_first(self) -> None:
        """Read the first events, or raise IncompleteStreamError."""
        try:
            self._first = next(self._blocks)
        except IncompleteStreamError:
            self.close()
            raise

    def reject(self, code: str) -> None:
        """End the stream as one that is not whole."""
        self._end_code = code
        self.close()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            if self._first is not None:
                yield self._first
                self._first = None
            yield from self._blocks
        finally:
            self.close()

    def _disconnect(self) -> None:
        if self._end_code is None:
            self._response.release_conn()
        else:
            self._response.close()

    def _read_blocks(self) -> collections.abc.Iterator[bytes]:
        rest = b''
        gathering_since = 0.0
        try:
            for piece in self._response.stream():
                rest += piece
                ended = rest.endswith(DONE_EVENT)
                gathered_s = time.monotonic() - gathering_since
                if not ended and gathered_s < GATHER_S:
                    continue
                end = rest.rfind(EVENT_END) + len(EVENT_END)
                if end < len(EVENT_END):
                    continue
                block, rest = rest[:end], rest[end:]
                if self._take(block):
                    # Reading on to the end lets the connection be reused.
                    self._response.drain_conn()
                    self._end_code = None
                    yield block
                    return
                yield block
                # Many streams that wake for each token cost more than the
                # tokens; a pause lets a few arrive together.
                time.sleep(PAUSE_S)
                gathering_since = time.monotonic()
        except urllib3.exceptions.HTTPError as error:
            self._fail(service.CUT_CODE, str(error))
        self._fail(service.CUT_CODE, 'the stream ended without its marker')

    def _take(self, block: bytes) -> bool:
        """Account for whole events; tell whether the marker is there."""
        done = block.endswith(DONE_EVENT)
        events = block.count(EVENT_END) - done
        labels = VERSION_PATTERN.findall(block)
        if len(labels) != events:
            self._fail(UNLABELLED_CODE, 'an event names no weight version')
        for label in labels:
            if not label.isdigit():
                self._fail(UNLABELLED_CODE, f'unknown version {label!r}')
            self._versions[int(label)] = None
        self._events += events
        if done and not self._events:
            self._fail(UNLABELLED_CODE, 'the answer has no event')
        now = time.monotonic()
        if now > self._deadline:
            self._fail(service.TIMEOUT_CODE, 'the deadline has passed')
        self._mark_progress(now)
        return done

    def _mark_progress(self, now: float) -> None:
        """Report the time for a token, without the wait for the first."""
        if not self._marked_at:
            self._marked_events, self._marked_at = self._events, now
            return
        events = self._events - self._marked_events
        if events >= PROGRESS_EVENTS:
            self._report_progress((now - self._marked_at) / events)
            self._marked_events, self._marked_at = self._events, now

    def _fail(self, code: str, message: str) -> typing.NoReturn:
        self._end_code = code
        raise IncompleteStreamError(message)


class Completion(typing.NamedTuple):
    """Hold a whole completion and the versions that produced it."""

    text: str
    tokens: int
    weight_versions: tuple[int, ...]


def collect(
    stream: CompletionStream, cancelled: typing.Callable[[], bool]
) -> Completion:
    """Read a stream to its end, or raise IncompleteStreamError."""
    texts = []
    for block in stream:
        if cancelled():
            stream.close()
            raise IncompleteStreamError('the attempt was cancelled')
        try:
            texts += _texts(block)
        except (ValueError, LookupError, TypeError) as error:
            stream.reject(MALFORMED_CODE)
            raise IncompleteStreamError(
                'an event has another shape'
            ) from error
    return Completion(''.join(texts), stream.units, stream.weight_versions)


def _texts(block: bytes) -> list[str]:
    data = (
        event.removeprefix(DATA_PREFIX) for event in block.split(EVENT_END)
    )
    return [
        json.loads(item)['choices'][0]['text']
        for item in data
        if item and item != b'[DONE]'
    ]


@adapters.adapters.register('completions')
class Completions(adapters.Adapter):
    """Post a completion request and read its server-sent events."""

    def send(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        """Send a request and return the whole answer with its labels."""
        return self._post(upstream, request, deadline, preload=True).bind(
            _labelled_answer
        )

    def open_stream(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Send a request and return the stream once it has begun."""
        return self._post(upstream, request, deadline, preload=False).bind(
            lambda response: _begin(response, deadline)
        )

    def poll_load(
        self, upstream: upstreams.Upstream
    ) -> upstreams.LoadReport | None:
        """Return the engine's requests and weight version."""
        info = self._get_json(upstream, SERVER_INFO_PATH)
        if info is None:
            return None
        label = str(info['weight_version'])
        return upstreams.LoadReport(
            info['num_running_reqs'],
            info['num_waiting_reqs'],
            int(label) if label.isdigit() else None,
        )

    def update_weights(
        self,
        upstream: upstreams.Upstream,
        version: int,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Order an engine to load a version; tell whether it agreed."""
        body = json.dumps(
            {
                'model_path': f'{upstream.service}/{version}',
                'weight_version': str(version),
                'fence': fence,
            }
        )
        try:
            response = self._http.request(
                'POST',
                adapters.url(upstream, UPDATE_WEIGHTS_PATH),
                body=body.encode(),
                headers={'Content-Type': 'application/json'},
                timeout=timeout_s,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200


def _begin(
    response: urllib3.BaseHTTPResponse, deadline: float
) -> result.Result[streams.Stream, verdicts.Refusal]:
    stream = CompletionStream(response, deadline)
    try:
        stream.read_first()
    except IncompleteStreamError as error:
        return result.Failure(
            verdicts.uncertain(stream.end_code or '', str(error))
        )
    return result.Success(stream)


def _labelled_answer(
    response: urllib3.BaseHTTPResponse,
) -> result.Result[answers.Answer, verdicts.Refusal]:
    labels = set(VERSION_PATTERN.findall(response.data))
    if response.status == 200 and not _known(labels):
        return result.Failure(
            verdicts.uncertain(UNLABELLED_CODE, 'unknown weight version')
        )
    return result.Success(
        answers.Answer(
            response.status,
            response.headers.get('Content-Type', ''),
            response.data,
            weight_versions=tuple(sorted(map(int, labels))),
        )
    )


def _known(labels: set[bytes]) -> bool:
    return bool(labels) and all(label.isdigit() for label in labels)
