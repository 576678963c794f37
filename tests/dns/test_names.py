"""Domain names of operations, zones and endpoints."""

import pytest

from swiftchute.dns.errors import DomainNameError
from swiftchute.dns.names import OriginNames
from tests.support.dns_frontend import ORIGIN


@pytest.mark.parametrize(
    ("operations", "zones"),
    [(["x" * 63], ["z"]), (["a", "A"], ["z"]), (["a"], ["a"]), (["ip-1"], ["z"]), (["ns"], [])],
)  # fmt: skip
def test_unrepresentable_or_ambiguous_names_are_rejected(operations, zones):
    with pytest.raises(DomainNameError):
        OriginNames(ORIGIN, operations, zones)


def test_an_operation_is_one_label_even_if_it_contains_dots():
    names = OriginNames(ORIGIN, ["a.b"], ["z"])
    assert names.service_name("a.b").labels[0] == b"_a.b"
    assert names.target_name("[2001:db8::1]:80").labels[0] == b"ip6-20010db8000000000000000000000001"
