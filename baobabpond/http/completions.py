"""Send requests to model engines over the OpenAI completions API.

Each event of a stream carries a label: the weight version of its token.
"""

import collections.abc
import json
import re
import time
import typing

from returns import result
import urllib3

from .. import answers
from .. import decoding
from .. import verdicts
from ..routing import router
from ..routing import streams
from ..routing import upstreams

from . import adapters

SERVER_INFO_PATH = '/server_info'
UPDATE_WEIGHTS_PATH = '/update_weights_from_disk'
EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1024 * 1024
DATA_PREFIX = b'data: '
DONE_EVENT = b'data: [DONE]\n\n'
VERSION_PATTERN = re.compile(rb'(?<!\\)"weight_version":\s*"([^"]*)"')
UNLABELLED_CODE = 'unlabelled'
MALFORMED_CODE = 'malformed'
EVENTS_PER_PROGRESS_REPORT = 8
BATCH_PAUSE_S = 0.02
BATCH_WINDOW_S = 0.001


class IncompleteStreamError(Exception):
    """Report that a streamed answer is incomplete or invalid."""


class CompletionStream(streams.Stream):
    """Validate the weight versions and end marker of a streamed completion.

    Events are passed on in batches of complete events.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> None:
        super().__init__()
        self._response = response
        self._deadline = deadline
        self._batches = self._read_batches()
        self._first_batch: bytes | None = None
        self._versions: dict[int, None] = {}
        self._event_count = 0
        self._reported_events = 0
        self._reported_at = 0.0
        self._end_code: str | None = streams.CANCELLED_CODE

    @property
    def units(self) -> int:
        """Return the number of events received so far, one per token."""
        return self._event_count

    @property
    def failure_code(self) -> str | None:
        """Return why the answer is incomplete, or None if it is complete."""
        return self._end_code

    @property
    def weight_versions(self) -> tuple[int, ...]:
        """Return the versions in the answer, in order of appearance."""
        return tuple(self._versions)

    def read_first(self) -> None:
        """Read the first events, or raise IncompleteStreamError.

        They are yielded again by the iteration.
        """
        try:
            self._first_batch = next(self._batches)
        except IncompleteStreamError:
            self.close()
            raise

    def reject(self, code: str) -> None:
        """Close the stream as incomplete, with an end code."""
        self._end_code = code
        self.close()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            if self._first_batch is not None:
                yield self._first_batch
                self._first_batch = None
            yield from self._batches
        finally:
            self.close()

    def _disconnect(self) -> None:
        if self._end_code is None:
            self._response.release_conn()
        else:
            self._response.close()

    def _read_batches(self) -> collections.abc.Iterator[bytes]:
        buffer = b''
        batch_started_at = 0.0
        try:
            for chunk in self._response.stream():
                buffer += chunk
                is_last = buffer.endswith(DONE_EVENT)
                waited_s = time.monotonic() - batch_started_at
                if not is_last and waited_s < BATCH_WINDOW_S:
                    continue
                end = buffer.rfind(EVENT_END) + len(EVENT_END)
                if end < len(EVENT_END):
                    if len(buffer) > MAX_EVENT_BYTES:
                        self._fail(MALFORMED_CODE, 'an event has no end')
                    continue
                batch, buffer = buffer[:end], buffer[end:]
                if self._process_events(batch):
                    # A connection can be reused only once its response is read
                    # to the end.
                    self._response.drain_conn()
                    self._end_code = None
                    yield batch
                    return
                yield batch
                # Waking up for each token of many streams costs more CPU time
                # than the tokens themselves. The pause lets a few tokens
                # arrive together.
                time.sleep(BATCH_PAUSE_S)
                batch_started_at = time.monotonic()
        except urllib3.exceptions.HTTPError as error:
            self._fail(router.CUT_CODE, str(error))
        self._fail(router.CUT_CODE, 'the stream ended without its marker')

    def _process_events(self, batch: bytes) -> bool:
        """Validate and count events; return whether the end marker follows."""
        is_done = batch.endswith(DONE_EVENT)
        event_count = batch.count(EVENT_END) - is_done
        labels = VERSION_PATTERN.findall(batch)
        if len(labels) != event_count:
            self._fail(UNLABELLED_CODE, 'an event names no weight version')
        for label in labels:
            if not label.isdigit():
                self._fail(UNLABELLED_CODE, f'unknown version {label!r}')
            self._versions[int(label)] = None
        self._event_count += event_count
        if is_done and not self._event_count:
            self._fail(UNLABELLED_CODE, 'the answer has no event')
        now = time.monotonic()
        if now > self._deadline:
            self._fail(router.TIMEOUT_CODE, 'the deadline has passed')
        self._update_progress(now)
        return is_done

    def _update_progress(self, now: float) -> None:
        """Report the time per token, without the time to first token."""
        if not self._reported_at:
            self._reported_events, self._reported_at = self._event_count, now
            return
        event_count = self._event_count - self._reported_events
        if event_count >= EVENTS_PER_PROGRESS_REPORT:
            self._report_progress((now - self._reported_at) / event_count)
            self._reported_events, self._reported_at = self._event_count, now

    def _fail(self, code: str, message: str) -> typing.NoReturn:
        self._end_code = code
        raise IncompleteStreamError(message)


class Completion(typing.NamedTuple):
    """Describe a complete completion and the versions that produced it."""

    text: str
    tokens: int
    weight_versions: tuple[int, ...]


def collect(
    stream: CompletionStream, is_cancelled: typing.Callable[[], bool]
) -> Completion:
    """Read a stream to its end; raises IncompleteStreamError."""
    texts = []
    for batch in stream:
        if is_cancelled():
            stream.close()
            raise IncompleteStreamError('the attempt was cancelled')
        try:
            texts += _parse_texts(batch)
        except decoding.MalformedData as error:
            stream.reject(MALFORMED_CODE)
            raise IncompleteStreamError(
                'an event is not a completion chunk'
            ) from error
    return Completion(''.join(texts), stream.units, stream.weight_versions)


@decoding.decoder('completion chunk')
def _parse_texts(batch: bytes) -> list[str]:
    data = (
        event.removeprefix(DATA_PREFIX) for event in batch.split(EVENT_END)
    )
    return [
        decoding.load_json(item)['choices'][0]['text']
        for item in data
        if item and item != b'[DONE]'
    ]


@adapters.adapters.register('completions')
class Completions(adapters.Adapter):
    """Post completion requests and read the server-sent events."""

    def send(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        """Send a request and return the answer with its weight versions."""
        return self._post(upstream, request, deadline, preload=True).bind(
            _make_answer
        )

    def open_stream(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Send a request and return its stream after the first events."""
        return self._post(upstream, request, deadline, preload=False).bind(
            lambda response: _start_stream(response, deadline)
        )

    def poll_load(
        self, upstream: upstreams.Upstream
    ) -> upstreams.LoadReport | None:
        """Return the engine's request counts and weight version."""
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
        """Order an engine to load a version; return whether it accepted."""
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


def _start_stream(
    response: urllib3.BaseHTTPResponse, deadline: float
) -> result.Result[streams.Stream, verdicts.Refusal]:
    stream = CompletionStream(response, deadline)
    try:
        stream.read_first()
    except IncompleteStreamError as error:
        return result.Failure(
            verdicts.uncertain(stream.failure_code or '', str(error))
        )
    return result.Success(stream)


def _make_answer(
    response: urllib3.BaseHTTPResponse,
) -> result.Result[answers.Answer, verdicts.Refusal]:
    labels = set(VERSION_PATTERN.findall(response.data))
    if response.status == 200 and not _are_versions(labels):
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


def _are_versions(labels: set[bytes]) -> bool:
    return bool(labels) and all(label.isdigit() for label in labels)
