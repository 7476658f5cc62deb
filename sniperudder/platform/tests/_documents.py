"""Row value of an endpoint, as listed in the store."""

ENDPOINT_ROW = {
    'service': 'llm',
    'address': '10.1.0.1:80',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 7,
    'born': 5,
    'kind': 'big',
    'layers': {'from': 0, 'to': 4, 'version': 1},
}
