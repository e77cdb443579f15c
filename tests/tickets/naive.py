"""Naive ticket registry, written from the acceptance rules alone."""

import json

import attrs


def naive_content(ticket):
    """Return the content of a ticket by object, independent of order."""
    specs = [("service", spec.name, spec) for spec in ticket.service]
    specs += [("failure_domain", spec.name, spec) for spec in ticket.failure_domain]
    specs += [("target", spec.id, spec) for spec in ticket.target]
    return {(kind, name): json.dumps(attrs.asdict(spec), sort_keys=True) for kind, name, spec in specs}


class NaiveRegistry:
    """Keeps every accepted ticket and derives every outcome from that list."""

    def __init__(self):
        self.accepted = []

    def submit(self, index, ticket):
        """Return ``accepted``, ``repeated``, ``conflict`` or ``fixed``, with the log index of acceptance."""
        content = naive_content(ticket)
        for number, old_content, old_index in self.accepted:
            if number == ticket.number:
                return ("repeated", old_index) if old_content == content else ("conflict", 0)
        for number, old_content, _ in self.accepted:
            if number > ticket.number and old_content.keys() & content.keys():
                return "conflict", 0
        state = self.state()
        for key, spec in content.items():
            if key[0] == "service" and key in state:
                old, new = json.loads(state[key]), json.loads(spec)
                if (old["kind"], old["shards"]) != (new["kind"], new["shards"]):
                    return "fixed", 0
        self.accepted.append((ticket.number, content, index))
        return "accepted", index

    def state(self):
        """Return the state of each object from the ticket with the highest number that changes it."""
        state = {}
        for _, content, _ in sorted(self.accepted, key=lambda ticket: ticket[0]):
            state.update(content)
        return state
