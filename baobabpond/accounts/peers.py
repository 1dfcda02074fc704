"""Keep the keys of accounts out of messages to other instances."""

import structlog

from .. import decoding
from ..ports import catalogue
from ..ports import log as log_port

# Passed on in place of a configuration that cannot be decoded; it cannot be
# decoded either.
UNREADABLE = b'{}'

LOG = structlog.get_logger(__name__)


class KeyRedactor:
    """Replace keys by their digests, by which accounts are found as well."""

    def __init__(self, decoder: catalogue.CatalogueDecoder) -> None:
        self._decoder = decoder

    def redact(
        self, topic: str, records: list[log_port.Record]
    ) -> list[log_port.Record]:
        """Return the records of a topic without keys."""
        if topic != self._decoder.configuration_topic:
            return records
        return [
            record._replace(value=self._redact_value(record))
            for record in records
        ]

    def _redact_value(self, record: log_port.Record) -> bytes:
        try:
            return self._decoder.without_keys(record.key, record.value)
        except decoding.MalformedData as error:
            LOG.warning(
                'malformed operator record not passed on to another instance',
                key=record.key,
                offset=record.offset,
                error=str(error),
            )
            return UNREADABLE
