"""Send responses that the instance produces itself."""

import http
import json

from .. import verdicts

from . import http_exchange

JSON_TYPE = ('Content-Type', 'application/json')


def send_json(
    exchange: http_exchange.Exchange,
    status: int,
    body: bytes,
    close: bool = False,
) -> None:
    """Send a response with a JSON body."""
    reason = http.HTTPStatus(status).phrase
    exchange.send_response(status, reason, [JSON_TYPE], body, close)


def send_refusal(
    exchange: http_exchange.Exchange,
    refusal: verdicts.Refusal,
    close: bool = False,
) -> None:
    """Send a refusal as JSON, with Retry-After where it sets a delay."""
    headers = [JSON_TYPE]
    if refusal.retry_after_s is not None:
        headers.append(('Retry-After', f'{refusal.retry_after_s:g}'))
    if refusal.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    body = {
        'verdict': refusal.verdict.value,
        'code': refusal.code,
        'message': refusal.message,
    }
    reason = http.HTTPStatus(refusal.status).phrase
    exchange.send_response(
        refusal.status, reason, headers, json.dumps(body).encode(), close
    )
