"""Serve health, readiness, metrics, status and the entry list."""

import collections.abc
import typing
import urllib.parse

from .. import __version__
from .. import metrics as metrics_module
from ..gen.peer import ttypes
from ..members import entries
from ..members import table as table_module
from ..routing import router_manager
from ..settings import current as current_module

from . import parse
from . import responses

NOT_READY_STATUS = 503


class OperatorHandlers:
    """Serve the state of this instance and its view of the cluster."""

    def __init__(
        self,
        table: table_module.MemberTable,
        current: current_module.CurrentSettings,
        routers: router_manager.RouterManager,
        metrics: metrics_module.Metrics,
        is_ready: collections.abc.Callable[[], bool],
        extra_status: collections.abc.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self._table = table
        self._current = current
        self._routers = routers
        self._metrics = metrics
        self._is_ready = is_ready
        self._extra_status = extra_status

    def entries(
        self, environ: parse.Environ, _argument: str
    ) -> responses.Response:
        """Return the entry instances that a caller should use."""
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        own = self._table.own
        settings = self._current.tree.effective('')
        entry_list = entries.entry_list(
            self._table,
            settings['leaving_instances'],
            query.get('caller', [parse.ANONYMOUS])[0],
            query.get('data_centre', [own.data_centre])[0],
            settings['entry_validity_s'],
        )
        return responses.json_response(
            {
                'entries': [
                    {
                        'instance': member.instance,
                        'address': member.address,
                        'port': member.http_port,
                        'data_centre': member.data_centre,
                    }
                    for member in entry_list.entries
                ],
                'valid_for_s': entry_list.valid_for_s,
            }
        )

    def health(
        self, _environ: parse.Environ, _argument: str
    ) -> responses.Response:
        """Report that the process is alive."""
        return responses.json_response({'healthy': True})

    def ready(
        self, _environ: parse.Environ, _argument: str
    ) -> responses.Response:
        """Return whether the instance is ready, as status 200 or 503."""
        ready = self._is_ready()
        status = 200 if ready else NOT_READY_STATUS
        return responses.json_response({'ready': ready}, status)

    def metrics(
        self, _environ: parse.Environ, _argument: str
    ) -> responses.Response:
        """Return counters, gauges and percentiles."""
        return responses.json_response(self._metrics.snapshot())

    def status(
        self, _environ: parse.Environ, _argument: str
    ) -> responses.Response:
        """Return members, settings in force and upstreams."""
        return responses.json_response(
            {
                'version': __version__,
                'instance': self._table.own.instance,
                'settings_revision': self._current.revision,
                'settings_digest': self._current.tree.digest,
                'members': [
                    _member_json(member) for member in self._table.members()
                ],
                'services': self._services(),
                **self._extra_status(),
            }
        )

    def _services(self) -> dict[str, typing.Any]:
        services = {}
        for service, router in self._routers.services().items():
            settings = self._current.tree.effective(service)
            services[service] = {
                'in_flight': router.in_flight,
                'limit': router.limit(settings),
                'upstreams': [
                    {
                        'instance': state.upstream.instance,
                        'in_flight': state.in_flight,
                        'load': state.load(),
                        'leaving': state.leaving,
                        'ejected': state.ejected,
                        'weight_version': state.weight_version,
                    }
                    for state in router.upstream_set.states()
                ],
            }
        return services


def _member_json(member: ttypes.Member) -> dict[str, typing.Any]:
    return {
        'instance': member.instance,
        'address': member.address,
        'port': member.http_port,
        'data_centre': member.data_centre,
        'state': table_module.state_name(member.state),
        'settings_revision': member.settings_revision,
    }
