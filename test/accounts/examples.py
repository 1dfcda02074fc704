"""Create accounts, routes and configurations for tests."""

from baobabpond.accounts import lookup
from baobabpond.ports import catalogue

KEY = 'kea-key-1'
ACCOUNTS = lookup.index(
    [
        lookup.create('kea', [KEY, 'kea-key-2'], 3),
        lookup.create('tui', ['tui-key'], None),
    ]
)


def make_route(is_public: bool = False) -> catalogue.Route:
    """Return a route that matches all paths of a host."""
    return catalogue.Route(
        'r',
        'h',
        '/',
        catalogue.RouteKind.IDEMPOTENT,
        (catalogue.ServiceWeight('s', 1.0),),
        2.0,
        0.1,
        7,
        1,
        False,
        False,
        1.0,
        60.0,
        is_public,
    )


def make_configuration(
    accounts: catalogue.Accounts | None = ACCOUNTS,
    version: int = 1,
    is_public: bool = False,
) -> catalogue.Configuration:
    """Return a configuration with one route."""
    return catalogue.Configuration(
        version, (make_route(is_public),), {}, catalogue.Limits(), accounts
    )
