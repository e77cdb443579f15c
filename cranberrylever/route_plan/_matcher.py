"""Selection of the route and the service of one request."""

from cranberrylever.route_plan._plan import Route, RoutePlan, RouteShare


class RouteMatcher:
    """Finds routes by host and longest path prefix, and divides requests among services by weight.

    Shares are exact over time: each request goes to the service that is furthest behind its share. Random
    choice would leave the shares of a few hundred requests off by several per cent.
    """

    def __init__(self, plan: RoutePlan) -> None:
        self.plan = plan
        self.hosts: dict[str, dict[str, Route]] = {}
        self.services = {service.name: service for service in plan.services}
        self.sent: dict[str, list[float]] = {}
        for route in plan.routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` on ``host``.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path without its query.
        """
        prefixes = self.hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        counts = self.sent.setdefault(route.name, [0.0] * len(route.shares))
        total = sum(share.weight for share in route.shares)
        position = max(
            range(len(counts)), key=lambda place: self._lag(route.shares[place], counts, place, total)
        )
        counts[position] += 1.0
        return route.shares[position].service

    @staticmethod
    def _lag(share: RouteShare, counts: list[float], place: int, total: float) -> float:
        """Return how many requests a share is behind after one more request."""
        if share.weight <= 0:
            return float("-inf")
        return (sum(counts) + 1.0) * share.weight / total - counts[place]
