"""Call the log service over its Kafka REST Proxy API."""

import json
import typing

import urllib3

from .. import decoding
from .. import verdicts
from ..transport import pools

JSON_TYPE = 'application/vnd.kafka.json.v2+json'
CONNECT_TIMEOUT_S = 1.0
APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
POOL_SIZE = 4
OUT_OF_RANGE_CODE = 40403


class LogError(Exception):
    """Raised when a call to the log service fails.

    The verdict says whether the call may have taken effect.
    """

    def __init__(self, message: str, verdict: verdicts.Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class GapError(LogError):
    """Raised when the requested offset was removed by retention."""


class Record(typing.NamedTuple):
    """One record and its offset."""

    offset: int
    value: dict[str, typing.Any]


class Bounds(typing.NamedTuple):
    """The first retained offset and the offset of the next record."""

    first: int
    end: int


class LogClient:
    """Append to and read from one partition of one topic."""

    def __init__(self, base_url: str, topic: str) -> None:
        self._partition_url = f'{base_url}/topics/{topic}/partitions/0'
        self._http = pools.BoundedPoolManager(1, POOL_SIZE)

    def append(self, value: typing.Mapping[str, typing.Any]) -> int:
        """Append one record and return its offset.

        Raises LogError.
        """
        body = json.dumps({'records': [{'value': value}]})
        decoded = self._call('POST', '', APPEND_TIMEOUT_S, body=body.encode())
        return decoded['offsets'][0]['offset']

    def read(
        self, offset: int, count: int, wait_s: float = 0.0
    ) -> list[Record]:
        """Return records from an offset on, after at most wait_s seconds.

        Raises LogError, or GapError if the offset has expired.
        """
        path = (
            f'/messages?offset={offset}&count={count}'
            f'&timeout={int(wait_s * 1000)}'
        )
        decoded = self._call('GET', path, wait_s + READ_MARGIN_S)
        records = [Record(item['offset'], item['value']) for item in decoded]
        if records and records[0].offset != offset:
            raise GapError('the offset has expired', verdicts.Verdict.NOT_RUN)
        return records

    def bounds(self) -> Bounds:
        """Return the offsets between which records are retained.

        Raises LogError.
        """
        decoded = self._call('GET', '/offsets', READ_MARGIN_S)
        return Bounds(decoded['beginning_offset'], decoded['end_offset'])

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
        decoded = decoding.load_json(response.data)
    except decoding.MalformedData as error:
        raise LogError(
            'the response is not JSON', verdicts.Verdict.MAY_HAVE_RUN
        ) from error
    if response.status == 200:
        return decoded
    if decoded.get('error_code') == OUT_OF_RANGE_CODE:
        raise GapError(decoded['message'], verdicts.Verdict.NOT_RUN)
    message = f'status {response.status}: {decoded.get("message")}'
    raise LogError(message, verdicts.Verdict.MAY_HAVE_RUN)
