"""Talk to the log service through the Kafka REST Proxy resources."""

import json
import typing

import urllib3

from .. import verdicts

JSON_TYPE = 'application/vnd.kafka.json.v2+json'
CONNECT_TIMEOUT_S = 1.0
APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
POOL_SIZE = 4
OUT_OF_RANGE_CODE = 40403


class LogError(Exception):
    """Report that the log service did not answer as asked."""

    def __init__(self, message: str, verdict: verdicts.Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class GapError(LogError):
    """Report that the asked offset has been removed by retention."""


class Record(typing.NamedTuple):
    """Hold one record and its offset."""

    offset: int
    value: dict[str, typing.Any]


class Bounds(typing.NamedTuple):
    """Hold the first offset kept and the offset of the next record."""

    first: int
    end: int


class LogClient:
    """Append to and read from one partition of one topic."""

    def __init__(self, base_url: str, topic: str) -> None:
        self._partition_url = f'{base_url}/topics/{topic}/partitions/0'
        self._http = urllib3.PoolManager(
            num_pools=1, maxsize=POOL_SIZE, retries=False
        )

    def append(self, value: typing.Mapping[str, typing.Any]) -> int:
        """Append one record and return its offset, or raise LogError."""
        body = json.dumps({'records': [{'value': value}]})
        answer = self._call('POST', '', APPEND_TIMEOUT_S, body=body.encode())
        return answer['offsets'][0]['offset']

    def read(
        self, offset: int, count: int, wait_s: float = 0.0
    ) -> list[Record]:
        """Return records from an offset on, waiting up to wait_s for one."""
        path = (
            f'/messages?offset={offset}&count={count}'
            f'&timeout={int(wait_s * 1000)}'
        )
        answer = self._call('GET', path, wait_s + READ_MARGIN_S)
        records = [Record(item['offset'], item['value']) for item in answer]
        if records and records[0].offset != offset:
            raise GapError('the offset has expired', verdicts.Verdict.NOT_RUN)
        return records

    def bounds(self) -> Bounds:
        """Return the offsets between which records are kept."""
        answer = self._call('GET', '/offsets', READ_MARGIN_S)
        return Bounds(answer['beginning_offset'], answer['end_offset'])

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> typing.Any:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._http.request(
                method,
                self._partition_url + path,
                body=body,
                headers={'Content-Type': JSON_TYPE},
                timeout=timeout,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise LogError(str(error), verdicts.Verdict.NOT_RUN) from error
        except urllib3.exceptions.HTTPError as error:
            raise LogError(
                str(error), verdicts.Verdict.MAY_HAVE_RUN
            ) from error
        return _decode(response)


def _decode(response: urllib3.BaseHTTPResponse) -> typing.Any:
    try:
        answer = json.loads(response.data)
    except ValueError as error:
        raise LogError(
            'the answer is not JSON', verdicts.Verdict.MAY_HAVE_RUN
        ) from error
    if response.status == 200:
        return answer
    if answer.get('error_code') == OUT_OF_RANGE_CODE:
        raise GapError(answer['message'], verdicts.Verdict.NOT_RUN)
    message = f'status {response.status}: {answer.get("message")}'
    raise LogError(message, verdicts.Verdict.MAY_HAVE_RUN)
