"""Configure structured logging for a process."""

import logging
import sys
import typing

import structlog


def configure(
    level: str, instance: str, output: typing.TextIO | None = None
) -> None:
    """Write lines of at least a level as JSON, to standard error if not told.

    A level is one of the names of the standard library's levels.
    """

    def add_instance(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        return {'instance': instance, **event}

    structlog.configure(
        processors=[
            add_instance,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
