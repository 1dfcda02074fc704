"""Registrations of another writer that name no upstream to use."""

import json
import random
import typing

GOOD: dict[str, typing.Any] = {
    'service': 'meja',
    'address': '10.0.0.1:8080',
    'zone': 'kl',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold-remaining-ms': 0,
    'born': 1783114360155,
    'models': [{'name': 'daka', 'version': 1, 'adapters': []}],
    'sequence': 3,
}
# Deeper than any decoder recurses.
DEPTH = 100_000
NUMBER = '"@number@"'


def nested(opening: str, closing: str) -> bytes:
    """Return deeply nested JSON."""
    return (opening * DEPTH + closing * DEPTH).encode()


def entry(**fields: typing.Any) -> bytes:
    """Return an entry with some fields replaced; None leaves one out."""
    merged = {**GOOD, **{n.rstrip('_'): v for n, v in fields.items()}}
    return json.dumps(
        {name: value for name, value in merged.items() if value is not None}
    ).encode()


def with_number(field: str, digits: str) -> bytes:
    """Return an entry that has a number in a field, as it is written."""
    return entry(**{field: '@number@'}).replace(
        NUMBER.encode(), digits.encode()
    )


def with_nested(field: str) -> bytes:
    """Return an entry that has deeply nested lists in a field."""
    return with_number(field, '[' * DEPTH + ']' * DEPTH)


def with_model(version: str) -> bytes:
    """Return an entry with the version of a model, as it is written."""
    models = [{'name': 'daka', 'version': '@number@'}]
    return entry(models=models).replace(NUMBER.encode(), version.encode())


ODD: dict[str, bytes] = {
    'bytes': b'\xff\xfe\x00',
    'no JSON': b'{"service":',
    'a list': b'[]',
    'a number': b'7',
    'nothing': b'null',
    'nested lists': nested('[', ']'),
    'nested objects': nested('{"a":', '}'),
    **{
        f'nested {field}': with_nested(field)
        for field in ('service', 'state', 'slots', 'models', 'unknown')
    },
    **{
        f'no {field}': entry(**{field: None})
        for field in ('service', 'address', 'zone', 'slots', 'state')
    },
    **{
        f'{field} {digits}': with_number(field, digits)
        for field in ('slots', 'born')
        for digits in ('1e999', '-1e999', 'NaN', '1.5', '9' * 400, 'true')
    },
    'slots of text': entry(slots='4'),
    'negative born': entry(born=-1),
    'no slots at all': entry(slots=0),
    'model 1e999': with_model('1e999'),
    'model of text': with_model('"1"'),
    'model without a name': entry(models=[{'version': 1}]),
    'models of text': entry(models='daka'),
    **{
        f'address {address!r}': entry(address=address)
        for address in (
            '10.0.0.1',
            '10.0.0.1:',
            '10.0.0.1:0',
            '10.0.0.1:65536',
            '10.0.0.1:-1',
            '10.0.0.1:+80',
            '10.0.0.1:8_0',
            '10.0.0.1: 80',
            '10.0.0.1:80\n',
            '10.0.0.1:\u0668\u0660',
            '10.0.0.1:' + '9' * 5000,
            ':8080',
            '10.0.0.1 :8080',
            '10.0.0.1\r\nX: y:8080',
            '10.0.0.1\x00:8080',
            'h' * 300 + ':8080',
            '\ud800:8080',
            7,
            ['10.0.0.1', 8080],
        )
    },
    'service of a number': entry(service=7),
    'service with a surrogate': entry(service='\ud800'),
    'service with line ends': entry(service='a\r\nb'),
    'zone with a surrogate': entry(zone='\udfff'),
    'version with a surrogate': entry(version='\udc00v'),
    'an unknown field with a surrogate': entry(other='\ud800'),
    'state unknown': entry(state='resting'),
    'state of a list': entry(state=['ready']),
}


def mutated(rng: random.Random) -> bytes:
    """Return a good entry with some bytes changed."""
    data = bytearray(entry())
    for _ in range(rng.randint(1, 6)):
        place = rng.randrange(len(data))
        data[place : place + rng.randint(0, 3)] = rng.choice(
            [b'', b'\x00', b'\xff', b'9' * 30, b'{', b'[', b'"', b'\\ud800']
        )
    return bytes(data)
