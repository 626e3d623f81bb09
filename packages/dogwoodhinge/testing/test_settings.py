"""Tests of `_dogwoodhinge.settings`."""

import pathlib

from absl import flags
import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import settings

REQUIRED = {
    "DOGWOODHINGE_HOST_ID": "host-1",
    "DOGWOODHINGE_TABLE_URL": "dynamodb+http://127.0.0.1:1",
    "DOGWOODHINGE_OBJECT_STORE_URL": "s3+http://127.0.0.1:1/objects",
    "DOGWOODHINGE_WEIGHT_STORE_URL": "s3+http://127.0.0.1:1/weights",
    "DOGWOODHINGE_HOST_LIST_URL": "sd+http://127.0.0.1:1/hosts",
}


def load(
    arguments: list[str], environment: dict[str, str]
) -> settings.Settings:
    values = flags.FlagValues()
    settings.define_flags(values)
    values(["dogwoodhinge", *arguments])
    return settings.load(environment, values)


def test_flag_overrides_variable() -> None:
    environment = {**REQUIRED, "DOGWOODHINGE_ZONE": "zone-b"}
    assert load([], environment).zone == "zone-b"
    assert load(["--zone=zone-c"], environment).zone == "zone-c"


@pytest.mark.parametrize(
    ("argument", "names"),
    [
        pytest.param("--caller_port=70000", ["65535"], id="port too large"),
        pytest.param("--table_url=nowhere", ["nowhere"], id="not a url"),
        pytest.param("--log_format=xml", ["'pairs'"], id="unknown format"),
        pytest.param("--candidates=none", ["integer"], id="not a number"),
        pytest.param(
            "--renew_seconds=8", ["session_ttl"], id="lease shorter than two"
        ),
        pytest.param(
            "--injection=dispatch=kill",
            ["enable_injection"],
            id="injection not enabled",
        ),
    ],
)
def test_wrong_flag_gives_one_line(argument: str, names: list[str]) -> None:
    with pytest.raises(errors.SettingsError) as raised:
        load([argument], REQUIRED)
    line = str(raised.value)
    assert "\n" not in line
    for name in [argument.partition("=")[0], *names]:
        assert name in line


def test_error_names_missing_flag() -> None:
    with pytest.raises(errors.SettingsError, match="--host_id is not set"):
        load([], {})


def test_secret_comes_from_file_or_variable(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "key"
    path.write_text("from file\n")
    variables = {"DOGWOODHINGE_PEER_KEY": "from variable"}
    assert settings.load_secret("peer_key", str(path), {}) == "from file"
    assert settings.load_secret("peer_key", "", variables) == "from variable"


@pytest.mark.parametrize("path", ["", "/nowhere/key"], ids=["none", "no file"])
def test_error_names_missing_secret(path: str) -> None:
    with pytest.raises(errors.SettingsError, match="--peer_key_file"):
        settings.load_secret("peer_key", path, {})


def test_help_names_each_flag_and_its_variable() -> None:
    page = settings.help_page()
    for name in settings.Settings.model_fields:
        assert f"--{name}\n" in page
        assert settings.variable_name(name) in page
    assert max(map(len, page.splitlines())) <= settings.HELP_WIDTH
