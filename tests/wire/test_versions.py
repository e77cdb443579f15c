"""Messages between members and entries of this version and the one before, while instances are replaced."""

import attrs
import msgspec
import testtools

from cranberrylever.consensus._messages import AppendReply, SnapshotReply
from cranberrylever.route_control._commands import RecordTarget, SubmitPlan, command_codec
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import FeedReply, FeedReport, FleetView, RoutedTarget, decode, encode
from tests.route_control.test_ownership import PLAN
from tests.route_entry.test_view import target

NEW_FIELDS = {
    FeedReport: ("leaving", "reads_sections", "reads_parts"),
    FeedReply: ("sections", "sections_left", "plan_part", "plan_left", "is_plan_pending", "plan_changes"),
    RoutedTarget: ("draining",),
    RoutedService: ("granted_in_answers",),
    AppendReply: ("failure_domain",),
    SnapshotReply: ("failure_domain",),
}
"""Fields that the version before does not know."""


def without_new_fields(message):
    """Return a message as the version before encodes it."""
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    for name in NEW_FIELDS[type(message)]:
        content.pop(name)
    return msgspec.msgpack.encode(content)


def previous_class(kind):
    """Return the class as the version before defines it."""
    fields = {
        field.name: attrs.field(type=field.type, default=field.default)
        for field in attrs.fields(kind)
        if field.name not in NEW_FIELDS[kind]
    }
    return attrs.make_class(kind.__name__, fields, frozen=True)


class VersionTest(testtools.TestCase):
    def messages(self):
        return (
            FeedReport("c", "e", 1, 2, 3, 4, leaving=(("a", 1),), reads_sections=True, reads_parts=True),
            FeedReply("c", 1, True, "leader", sections=b"x", sections_left=9, plan_part=b"y", plan_left=8),
            attrs.evolve(target("a"), draining=True),
            attrs.evolve(PLAN.services[0], granted_in_answers=True),
            AppendReply(1, True, 2, 1, 0, 1, 3, failure_domain="north"),
            SnapshotReply(1, 2, 0, False, 3, failure_domain="north"),
        )

    def test_messages_of_the_version_before_are_read(self):
        """Guards against a new process that cannot read what an old one sends."""
        for message in self.messages():
            read = decode(without_new_fields(message), type(message))
            for field in attrs.fields(type(message)):
                if field.name in NEW_FIELDS[type(message)]:
                    assert getattr(read, field.name) == field.default, field.name
                else:
                    assert getattr(read, field.name) == getattr(message, field.name), field.name

    def test_messages_of_this_version_are_read_by_the_one_before(self):
        """Guards against an old process that cannot read what a new one sends."""
        for message in self.messages():
            read = decode(encode(message), previous_class(type(message)))
            assert not any(hasattr(read, name) for name in NEW_FIELDS[type(message)])

    def test_commands_on_disk_of_the_version_before_are_read(self):
        """Guards against a member that cannot read its log after an upgrade."""
        announcement = TargetAnnouncement("a", 1, 1, "ledger", "a:80", "z", 3, False, 0.0)
        for command in (SubmitPlan(PLAN, 0), RecordTarget(announcement)):
            content = msgspec.msgpack.decode(command_codec.encode(command))
            for service in _services(content):
                del service["granted_in_answers"]
            assert command_codec.decode(msgspec.msgpack.encode(content)) == command

    def test_entry_that_does_not_read_sections_gets_fields(self):
        """Guards against an old entry that waits for a view that it cannot read."""
        old_report = decode(without_new_fields(FeedReport("c", "e", 1, 2, 3, 4)), FeedReport)
        assert not (old_report.reads_sections or old_report.reads_parts)
        reply = FeedReply("c", 1, True, "", fleet_version=1, fleet=FleetView((target("a"),), 8))
        assert decode(encode(reply), previous_class(FeedReply)).fleet == reply.fleet


def _services(content):
    """Return the services in a decoded command, wherever they stand."""
    if isinstance(content, dict):
        found = [content] if "granted_in_answers" in content else []
        return found + [item for value in content.values() for item in _services(value)]
    if isinstance(content, list):
        return [item for value in content for item in _services(value)]
    return []
