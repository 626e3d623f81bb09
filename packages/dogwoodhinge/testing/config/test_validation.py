"""Tests of `_dogwoodhinge.config.validation` and `contract`."""

import json
from typing import Any

import pytest

from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors
from _dogwoodhinge.config import validation
from dogwoodhinge import models

SHA = contract_lib.hash_key("k")
KEY = {"id": "main", "sha256": SHA}
LIMITS = {"requests_per_second": 10, "concurrency": 8}
RULE = {"name": "staves-*", "versions": ["*"], "role": "drafts"}
OPERATION = {"name": "reserve", "path": "/reserve"}


def make(**fields: Any) -> bytes:
    document = {
        "customer": "aduelas",
        "api_keys": [KEY],
        "limits": LIMITS,
        "adapters": [RULE],
        "services": [{"name": "lots", "operations": [OPERATION]}],
    }
    return json.dumps({**document, **fields}).encode()


def test_valid_contract_is_parsed() -> None:
    contract = validation.parse(make())
    assert contract.adapters[0].name == "staves-*"
    assert not contract.services[0].operations[0].idempotent


@pytest.mark.parametrize(
    ("fields", "path", "message"),
    [
        pytest.param({"colour": 1}, "colour", "unknown field", id="unknown"),
        pytest.param(
            {"limits": {"concurrency": 8}},
            "limits.requests_per_second",
            "required",
            id="missing",
        ),
        pytest.param(
            {"limits": {**LIMITS, "requests_per_second": 0}},
            "limits.requests_per_second",
            "greater than 0",
            id="rate of zero",
        ),
        pytest.param(
            {"limits": {**LIMITS, "concurrency": -1}},
            "limits.concurrency",
            "-1",
            id="negative limit",
        ),
        pytest.param(
            {"limits": {**LIMITS, "concurrency": "8"}},
            "limits.concurrency",
            "integer",
            id="number in quotes",
        ),
        pytest.param({"weight": 10**9}, "weight", "1000", id="huge weight"),
        pytest.param(
            {"customer": "Aduelas!"}, "customer", "must match", id="bad name"
        ),
        pytest.param(
            {"api_keys": []}, "api_keys", "at least 1", id="no api key"
        ),
        pytest.param(
            {"api_keys": [{"id": "main", "sha256": "secret"}]},
            "api_keys[0].sha256",
            "must match",
            id="key not hashed",
        ),
        pytest.param(
            {"api_keys": [KEY, {**KEY, "id": "other"}]},
            "api_keys",
            "twice",
            id="same key twice",
        ),
        pytest.param(
            {"adapters": [RULE, {**RULE, "name": "*staves"}]},
            "adapters[1].name",
            "must match",
            id="leading star",
        ),
        pytest.param(
            {"adapters": [{**RULE, "versions": [1.0]}]},
            "adapters[0].versions[0]",
            "string",
            id="version not in quotes",
        ),
        pytest.param(
            {
                "services": [
                    {"name": "lots", "operations": [OPERATION, OPERATION]}
                ]
            },
            "services[0].operations",
            "twice",
            id="operation twice",
        ),
        pytest.param(
            {
                "services": [
                    {
                        "name": "lots",
                        "operations": [{**OPERATION, "path": "reserve"}],
                    }
                ]
            },
            "services[0].operations[0].path",
            "must match",
            id="path without slash",
        ),
    ],
)
def test_error_names_path_value_and_what_is_allowed(
    fields: dict[str, Any], path: str, message: str
) -> None:
    with pytest.raises(errors.ContractInvalidError) as raised:
        validation.parse(make(**fields))
    line = str(raised.value).splitlines()[0]
    assert line.startswith(f"{path}: ")
    assert message in line


@pytest.mark.parametrize(
    ("model", "role"),
    [
        pytest.param("staves-9@v1", "first", id="whole name before prefix"),
        pytest.param("staves-9@v2", "prefix", id="version of a later rule"),
        pytest.param("staves-7@v1", "prefix", id="prefix before whole name"),
        pytest.param("staves-@v9", "prefix", id="prefix alone"),
        pytest.param("lids@v3", "last", id="name without a prefix rule"),
        pytest.param("lids@v4", None, id="version not allowed"),
        pytest.param("hoops@v1", None, id="adapter not allowed"),
    ],
)
def test_first_rule_that_allows_a_version_applies(
    model: str, role: str | None
) -> None:
    rules = [
        {"name": "staves-9", "versions": ["v1"], "role": "first"},
        {"name": "staves-*", "versions": ["*"], "role": "prefix"},
        {"name": "staves-7", "versions": ["v1"], "role": "late"},
        {"name": "lids", "versions": ["v3"], "role": "last"},
    ]
    contract = validation.parse(make(adapters=rules))
    rule = contract.adapter_rule(models.AdapterVersion.parse(model))
    assert (rule.role if rule else None) == role


def test_each_error_has_its_own_line() -> None:
    with pytest.raises(errors.ContractInvalidError) as raised:
        validation.parse(make(colour=1, weight=-1))
    assert len(str(raised.value).splitlines()) == 2


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{", id="truncated"),
        pytest.param(b"null", id="null"),
        pytest.param(b"\xff{}", id="not UTF-8"),
        pytest.param(b"[" * 100_000, id="deep"),
    ],
)
def test_text_that_is_no_contract(text: bytes) -> None:
    with pytest.raises(errors.ContractInvalidError, match="contract: "):
        validation.parse(text)


def test_contract_that_is_too_large() -> None:
    text = b" " * validation.MAX_CONTRACT_BYTES + make()
    with pytest.raises(errors.ContractInvalidError, match="at most"):
        validation.parse(text)
