"""Emulate a model engine that serves the OpenAI completions API.

Weight updates and load figures follow SGLang's update_weights_from_disk
and server_info. Faults: slow (factor), refuse, cut_streams (count),
fail_swaps (count; the version is unknown afterwards), no_label (count;
responses without weight_version), stuck (streams hang without being
closed).
"""

import collections
import collections.abc
import json
import random
import threading
import time

import urllib3

from . import base

PROMPT_CACHE_SIZE = 64
HANG_S = 3600.0
UNKNOWN_VERSION = 'unknown'


class Engine(base.StandIn):
    """Run a limited number of requests concurrently; the others wait."""

    def __init__(
        self,
        slots: int,
        token_s: float,
        prefill_s: float,
        swap_s: float,
        checks_fence: bool,
        store_url: str,
        seed: int,
    ) -> None:
        super().__init__()
        self._slots = slots
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._swap_s = swap_s
        self._checks_fence = checks_fence
        self._store_url = store_url
        self._rng = random.Random(seed)
        self._version = '0'
        self._fence = -1
        self._slot_released = threading.Condition(self.lock)
        self._running = 0
        self._waiting = 0
        self._prompt_cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._swap_orders: list[dict[str, object]] = []
        self._tokens = 0
        self._cache_hits = 0
        self.add_route('POST', '/v1/completions', self._complete)
        self.add_route('POST', '/update_weights_from_disk', self._swap)
        self.add_route('GET', '/server_info', self._server_info)
        self.add_route('GET', '/statistics', self._statistics)

    def _complete(self, request: base.Request) -> base.Reply:
        if self.fault('refuse'):
            return base.Reply({'message': 'refused'}, 503)
        fields = request.json()
        events = self._generate(
            str(fields.get('prompt', '')), int(fields.get('max_tokens', 16))
        )
        request_id = (('X-Request-Id', request.headers['x-request-id']),)
        if fields.get('stream'):
            return base.Reply(None, headers=request_id, stream=events)
        texts, label = [], self._version
        for event in events:
            if not event.startswith(b'data: [DONE]'):
                chunk = json.loads(event[6:])
                texts.append(chunk['choices'][0]['text'])
                label = chunk['weight_version']
        body = {
            'choices': [{'index': 0, 'text': ''.join(texts)}],
            'weight_version': label,
        }
        return base.Reply(body, headers=request_id)

    def _generate(
        self, prompt: str, tokens: int
    ) -> collections.abc.Iterator[bytes]:
        self._acquire_slot()
        try:
            time.sleep(self._prefill_delay(prompt))
            cut = self.consume_fault('cut_streams')
            unlabelled = self.consume_fault('no_label')
            for index in range(tokens):
                if self.fault('stuck'):
                    time.sleep(HANG_S)
                time.sleep(self._token_s * (self.fault('slow') or 1))
                self._tokens += 1
                label = '' if unlabelled else self._version
                # The text contains the version that actually generated it, so
                # that tests can check the label.
                yield _encode_event(f'v{self._version} ', label)
                if cut and index >= tokens // 2:
                    raise base.CutError
            yield b'data: [DONE]\n\n'
        finally:
            self._release_slot()

    def _acquire_slot(self) -> None:
        with self._slot_released:
            self._waiting += 1
            self._slot_released.wait_for(lambda: self._running < self._slots)
            self._waiting -= 1
            self._running += 1

    def _release_slot(self) -> None:
        with self._slot_released:
            self._running -= 1
            self._slot_released.notify_all()

    def _prefill_delay(self, prompt: str) -> float:
        with self.lock:
            hit = prompt in self._prompt_cache
            self._cache_hits += hit
            self._prompt_cache[prompt] = None
            self._prompt_cache.move_to_end(prompt)
            while len(self._prompt_cache) > PROMPT_CACHE_SIZE:
                self._prompt_cache.popitem(last=False)
        return 0.0 if hit else self._prefill_s

    def _swap(self, request: base.Request) -> base.Reply:
        order = request.json()
        with self.lock:
            if self._checks_fence and order['fence'] < self._fence:
                return base.Reply({'message': 'old fence'}, 409)
            self._swap_orders.append(order)
            self._fence = max(self._fence, order['fence'])
        if self._store_url and not self._fetch_weights(order['model_path']):
            return base.Reply({'message': 'weight store refused'}, 503)
        time.sleep(self._swap_s)
        if self.consume_fault('fail_swaps'):
            self._version = UNKNOWN_VERSION
            return base.Reply({'message': 'swap failed'}, 500)
        self._version = order['weight_version']
        return base.Reply({'success': True})

    def _fetch_weights(self, model_path: str) -> bool:
        response = urllib3.request(
            'GET', f'{self._store_url}/weights/{model_path}', retries=False
        )
        return response.status == 200

    def _server_info(self, _request: base.Request) -> base.Reply:
        return base.Reply(
            {
                'weight_version': self._version,
                'num_running_reqs': self._running,
                'num_waiting_reqs': self._waiting,
            }
        )

    def _statistics(self, _request: base.Request) -> base.Reply:
        return base.Reply(
            {
                'tokens': self._tokens,
                'orders': self._swap_orders,
                'cache_hits': self._cache_hits,
            }
        )


def _encode_event(text: str, label: str) -> bytes:
    chunk: dict[str, object] = {'choices': [{'index': 0, 'text': text}]}
    if label:
        chunk['weight_version'] = label
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


if __name__ == '__main__':
    arguments = base.parser()
    arguments.add_argument('--slots', type=int, default=8)
    arguments.add_argument('--token-s', type=float, default=0.005)
    arguments.add_argument('--prefill-s', type=float, default=0.02)
    arguments.add_argument('--swap-s', type=float, default=0.2)
    arguments.add_argument('--ignores-fence', action='store_true')
    arguments.add_argument('--store-url', default='')
    arguments.add_argument('--seed', type=int, default=0)
    options = arguments.parse_args()
    base.serve(
        Engine(
            options.slots,
            options.token_s,
            options.prefill_s,
            options.swap_s,
            not options.ignores_fence,
            options.store_url,
            options.seed,
        ),
        options.address,
        options.port,
    )
