"""Send requests to plain HTTP services, which do not stream."""

from returns import result

from .. import answers
from .. import verdicts
from ..routing import streams
from ..routing import upstreams

from . import adapters

LOAD_PATH = '/load'


@adapters.adapters.register('plain_http')
class PlainHttp(adapters.Adapter):
    """Post a body and read the complete answer."""

    def send(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        """Send a request and return the complete answer."""
        return self._post(upstream, request, deadline, preload=True).map(
            lambda response: answers.Answer(
                response.status,
                response.headers.get('Content-Type', ''),
                response.data,
            )
        )

    def open_stream(
        self,
        upstream: upstreams.Upstream,
        request: adapters.UpstreamRequest,
        deadline: float,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Refuse: a plain service does not stream."""
        return result.Failure(
            verdicts.bad_request(
                'no_streaming', 'the service does not stream its answers'
            )
        )

    def poll_load(
        self, upstream: upstreams.Upstream
    ) -> upstreams.LoadReport | None:
        """Return the numbers of running and waiting requests."""
        load = self._get_json(upstream, LOAD_PATH)
        if load is None:
            return None
        return upstreams.LoadReport(load['running'], load['waiting'])
