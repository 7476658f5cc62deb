"""Configurations as operators write them."""


def make_engine(layers=8, accelerators=None):
    """Return the engine settings of a service, as operators write them."""
    accelerators = accelerators or {'big': 8_000.0}
    return {
        'kv_token_bytes': 8_000.0,
        'stride': 3,
        'models': [{'name': 'm', 'pace': 1.0, 'load_s': 1.0}],
        'step_ms': 1.0,
        'per_seq_ms': 0.01,
        'context_per_k': 0.01,
        'read_per_s': 100_000.0,
        'usual': {'prompt': 100, 'answer': 30},
        'layers': layers,
        'layer_mb': 1_000.0,
        'activation_bytes': 1_000,
        'pipe_mbps': 18_000.0,
        'kinds': [
            {'name': name, 'size_mb': size, 'pace': 1.0, 'read_factor': 1.0}
            for name, size in accelerators.items()
        ],
    }


def make_configuration(version=1, routes=(), engine=None):
    """Return a configuration with a stream, a safe and an unsafe route."""

    def make_route(name, kind, service, **fields):
        return {
            'name': name,
            'host': 'shop.example',
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 2_000,
            'goal_ms': 500,
            'priority': 0,
            'service': service,
            'max_attempts': 2,
            'public': False,
            **fields,
        }

    services = [
        {'name': 'desk', 'health_path': '/health', 'max_conns': 100},
        {'name': 'llm', 'health_path': '/health', 'max_conns': 100},
    ]
    if engine is not None:
        services[1]['engine'] = engine
    return {
        'version': version,
        'routes': [
            make_route(
                'stream', 'streaming', 'llm', resumable=True, timeout_ms=5_000
            ),
            make_route('once', 'streaming', 'llm', resumable=False),
            make_route('safe', 'safe', 'desk'),
            make_route('unsafe', 'unsafe', 'desk', max_attempts=1),
            *routes,
        ],
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 300,
            'idle_timeout_ms': 2_000,
        },
        'tenants': [{'name': 'studio', 'api_keys': ['key-1'], 'priority': 1}],
    }
