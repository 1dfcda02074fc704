"""Handle the HTTP requests of trainers."""

import typing

from returns import result

from .. import metrics as metrics_module
from ..rollout import trainers
from ..settings import current as current_module

from . import parse
from . import responses


class TrainerHandlers:
    """Convert HTTP requests into trainer calls, and replies into responses."""

    def __init__(
        self,
        service: trainers.TrainerService,
        current: current_module.CurrentSettings,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._service = service
        self._current = current
        self._metrics = metrics

    def open_step(
        self, environ: parse.Environ, path: str
    ) -> responses.Response:
        """Open a step: PUT .../steps/N."""
        return self._call(trainers.OPEN, environ, path)

    def pull(self, environ: parse.Environ, path: str) -> responses.Response:
        """Return complete groups of a step: POST .../steps/N/pull."""
        return self._call(trainers.PULL, environ, path)

    def announce(
        self, environ: parse.Environ, path: str
    ) -> responses.Response:
        """Record a new weight version: POST .../versions."""
        return self._call(trainers.ANNOUNCE, environ, path)

    def _call(
        self, operation: str, environ: parse.Environ, path: str
    ) -> responses.Response:
        trainer, _, step = path.partition('/steps/')
        settings = self._current.tree.effective(trainer)
        reply: result.Result[typing.Any, typing.Any] = parse.read_json(
            environ, settings
        ).bind(
            lambda json_body: self._service.call(
                trainers.TrainerCall(
                    operation, trainer, int(step or 0), json_body.fields
                )
            )
        )
        if isinstance(reply, result.Success):
            return responses.json_response(reply.unwrap())
        refusal = reply.failure()
        self._metrics.count(f'trainers.refused.{refusal.code}')
        return responses.refusal_response(refusal)
