"""
Sample bodies in the platform's formats; keyword arguments replace fields.
"""

KINDS = (
    ('a100', 72_000, 2.4, 3.2),
    ('v100', 14_400, 5.3, 7.9),
    ('huge', 200_000, 2.4, 3.2),
)


def route_row(name, **changes):
    """
    Return a route of the desired state.
    """
    row = {
        'name': name,
        'hostname': 'shop.example',
        'path_prefix': f'/{name}/',
        'kind': 'safe',
        'timeout_ms': 1200,
        'target_latency_ms': 150,
        'priority': 1,
        'service': 'stock',
        'max_attempts': 2,
        'auth_exempt': False,
    }
    return {**row, **changes}


def stream_row(name, **changes):
    """
    Return a route of resumable streams.
    """
    fields = {
        'kind': 'streaming',
        'service': 'model',
        'timeout_ms': 20_000,
        'target_latency_ms': 500,
        'gap_target_ms': 250,
        'stream_resume': True,
        'session_affinity': True,
    }
    return route_row(name, **{**fields, **changes})


def engine_fields(**changes):
    """
    Return the engine fields of a service.
    """
    fields = {
        'slots': 96,
        'kv_token_bytes': 1_180_000,
        'step_ms': 1.02,
        'per_seq_ms': 0.009,
        'read_per_s': 164_000,
        'layers': 80,
        'layer_mb': 1750,
        'activation_bytes': 59_000,
        'pipe_mbps': 13_000,
        'usual': {'prompt': 775, 'answer': 216},
        'kinds': [
            {
                'name': name,
                'size_mb': size,
                'pace': pace,
                'read_factor': factor,
            }
            for name, size, pace, factor in KINDS
        ],
    }
    return {**fields, **changes}


def desired_body(**changes):
    """
    Return a desired state with a model service and a plain service.
    """
    body = {
        'version': 7,
        'routes': [
            route_row('lookup'),
            route_row('claim', kind='unsafe', max_attempts=1),
            stream_row('draft'),
        ],
        'services': [
            {
                'name': 'model',
                'health_path': '/health',
                'max_connections': 100,
                'engine': engine_fields(),
            },
            {
                'name': 'stock',
                'health_path': '/health',
                'max_connections': 100,
            },
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 65_536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }
    return {**body, **changes}


def entry_body(**changes):
    """
    Return the entry of a replica.
    """
    body = {
        'service': 'stock',
        'address': '10.128.0.9:8080',
        'zone': 'shah-alam',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 4,
    }
    return {**body, **changes}
