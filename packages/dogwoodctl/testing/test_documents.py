"""Tests of `_dogwoodctl.documents`."""

import pathlib

from _dogwoodctl import documents

CONFIGURATION_PAGE = (
    pathlib.Path(__file__).parents[3] / "docs" / "configuration.md"
)


def test_documented_example_is_a_valid_contract() -> None:
    text = CONFIGURATION_PAGE.read_text(encoding="utf-8")
    example = text.partition("```yaml\n")[2].partition("```")[0]
    contract = documents.parse(example, name="example")
    assert contract.customer == "aduelas"
    assert documents.parse(
        documents.dump(contract.model_dump(mode="json")), name="dump"
    ) == (contract)


def test_read_revision() -> None:
    assert documents.read_revision("# revision: 41\ncustomer: a\n") == 41
    assert documents.read_revision("customer: a\n") is None
    assert documents.read_revision("weight: 1 # revision: 4\n") is None
