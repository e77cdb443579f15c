"""Plans of a soak test."""

HOST = "soak.example"

ROUTE_COUNTS = (0, 500, 1_500)
"""Routes that plans have besides those that callers use, by turns."""

SHORT_TIMEOUT_S = 1.0
LONG_TIMEOUT_S = 8.0
"""Timeouts of the routes for planned stops; the long one outlasts any stop."""

ROUTES = {"read": ("ledger", True), "book": ("ledger", False), "order": ("desk", False)}
"""Service of each route that callers use, and whether its requests may run more than once."""


def newest_route(number: int) -> str:
    """Return the name of the route that only plan ``number`` has."""
    return f"plan-{number}"


def stop_routes() -> dict[str, tuple[str, float]]:
    """Return the routes for planned stops: for each name the route that it is like, and its timeout."""
    timeouts = {"short": SHORT_TIMEOUT_S, "long": LONG_TIMEOUT_S}
    return {f"{kind}-{name}": (name, timeouts[kind]) for kind in timeouts for name in ROUTES}


def route_plan(number: int, timeout: float = 2.0, granted_in_answers: bool = False) -> dict:
    """Return a plan with a keyed and a pooled service; ``timeout`` in seconds distinguishes plans."""
    ledger = {"name": "ledger", "keyed": True, "granted_in_answers": granted_in_answers}
    cold = {"max_connections": 60, "cold_time": 1.0, "cold_rate": 20.0, "takeover_time": 1.0}
    other_names = [newest_route(number)]
    other_names += [f"other-{index}" for index in range(ROUTE_COUNTS[number % len(ROUTE_COUNTS)])]
    return {
        "number": number,
        "routes": [
            *(_route(name, "desk", True, timeout) for name in other_names),
            *(_route(name, *ROUTES[name], timeout) for name in ROUTES),
            *(_route(name, *ROUTES[like], limit) for name, (like, limit) in stop_routes().items()),
        ],
        "services": [
            {**ledger, "health_path": "/healthz", **cold},
            {"name": "desk", "keyed": False, "health_path": "/healthz", **cold},
        ],
    }


def _route(name: str, service: str, is_idempotent: bool, timeout: float) -> dict:
    return {
        "name": name,
        "prefix": f"/{name}/",
        "shares": [{"service": service, "weight": 1.0}],
        "idempotent": is_idempotent,
        "priority": 1 if is_idempotent else 0,
        "host": HOST,
        "timeout": timeout,
        "objective": 0.5,
        "attempts": 2,
    }
