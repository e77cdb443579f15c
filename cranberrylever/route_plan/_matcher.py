"""Selection of the route and the service of a request."""

from cranberrylever.route_plan._plan import Route, RoutePlan, RouteShare


class RouteMatcher:
    """Finds routes by host and longest path prefix, and divides requests among services by weight.

    Each request goes to the service that is furthest behind its share. Random choice would miss the shares by
    several per cent over a few hundred requests.
    """

    def __init__(self, plan: RoutePlan) -> None:
        self.plan = plan
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self.services = {service.name: service for service in plan.services}
        self.sent_by_route: dict[str, list[float]] = {}
        for route in plan.routes:
            self.routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route on ``host`` with the longest prefix of ``path``, or ``None``.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path without its query.
        """
        routes_by_prefix = self.routes_by_host.get(host.partition(":")[0].lower())
        if routes_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        sent = self.sent_by_route.setdefault(route.name, [0.0] * len(route.shares))
        total = sum(share.weight for share in route.shares)
        chosen = max(range(len(sent)), key=lambda index: self._lag(route.shares[index], sent, index, total))
        sent[chosen] += 1.0
        return route.shares[chosen].service

    @staticmethod
    def _lag(share: RouteShare, sent: list[float], index: int, total: float) -> float:
        """Return by how many requests a service would be below its share without the next request."""
        if share.weight <= 0:
            return float("-inf")
        return (sum(sent) + 1.0) * share.weight / total - sent[index]
