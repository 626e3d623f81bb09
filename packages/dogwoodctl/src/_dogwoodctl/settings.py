"""Settings of `dogwoodctl`, from flags and environment variables."""

from collections.abc import Mapping
import pathlib
from typing import Annotated, Literal

from absl import flags
import pydantic

from _dogwoodctl import errors
from _dogwoodhinge import flag_sources

ENVIRONMENT_PREFIX = "DOGWOODCTL_"

NodeUrl = Annotated[
    str, pydantic.StringConstraints(pattern=r"^https?://[^/\s]+/?$")
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3_600)]


class Settings(pydantic.BaseModel):
    """Settings of `dogwoodctl`; each field is a flag of the same name."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    nodes: tuple[NodeUrl, ...] = pydantic.Field(
        default=("http://127.0.0.1:8081",),
        min_length=1,
        description="comma-separated operator URLs of nodes, tried in order",
    )
    fleet_url: str = pydantic.Field(
        default="store://127.0.0.1:8142",
        description="fleet commands: URL of the platform's store, in the form "
        "that the platform's plug-in expects",
    )
    against: str = pydantic.Field(
        default="",
        description="check: file that a configuration of the fleet is compared "
        "with, or in-force for the one in the platform's store",
    )
    key_file: str = pydantic.Field(
        default="",
        description="file with the operator key; if unset, the key is taken "
        "from DOGWOODCTL_OPERATOR_KEY",
    )
    operator: str = pydantic.Field(
        default="operator",
        pattern=r"^[A-Za-z0-9._@-]{1,64}$",
        description="name recorded with each change in the history",
    )
    output: Literal["text", "json"] = pydantic.Field(
        default="text", description="output format: text or json"
    )
    wait: bool = pydantic.Field(
        default=False,
        description="apply, delete: wait until the change is in force on "
        "every node",
    )
    wait_seconds: Seconds = pydantic.Field(
        default=19.0, description="timeout of --wait"
    )
    expected_revision: int | None = pydantic.Field(
        default=None,
        ge=0,
        description="apply, delete: revision of the contract that the change "
        "is based on, 0 for none; default: the file's '# revision:' line, "
        "else the revision in force",
    )
    change_id: str = pydantic.Field(
        default="",
        pattern=r"^([A-Za-z0-9_-]{8,64})?$",
        description="apply, delete: id of a change whose outcome is unknown, "
        "to retry it safely",
    )
    timeout_seconds: Seconds = pydantic.Field(
        default=15.0, description="timeout of a request to a node"
    )

    @pydantic.field_validator("nodes", mode="before")
    @classmethod
    def _split_nodes(cls, value: object) -> object:
        if isinstance(value, str):
            return tuple(part.strip() for part in value.split(","))
        return value


def define_flags(flag_values: flags.FlagValues) -> None:
    """Defines a flag without a default for each setting.

    The defaults come from `Settings`.
    """
    for name, field in Settings.model_fields.items():
        text = f"{field.description}; variable {variable_name(name)}"
        define = flags.DEFINE_string
        if field.annotation is bool:
            define = flags.DEFINE_boolean
        define(name, None, text, flag_values=flag_values, module_name="")


def load(
    environment: Mapping[str, str], flag_values: flags.FlagValues
) -> Settings:
    """Reads and validates all settings.

    Raises:
        UsageError: a setting is invalid; the message names the flag, the
            value and what is allowed.
    """
    values = flag_sources.collect(
        Settings.model_fields,
        prefix=ENVIRONMENT_PREFIX,
        environment=environment,
        flag_values=flag_values,
    )
    try:
        return Settings.model_validate(values)
    except pydantic.ValidationError as error:
        raise errors.UsageError(_format_error(error)) from error


def load_key(settings: Settings, environment: Mapping[str, str]) -> str:
    """Reads the operator key from its file or its environment variable.

    Raises:
        UsageError: the key is missing, or its file is unreadable.
    """
    key = environment.get(variable_name("operator_key"), "")
    if settings.key_file:
        try:
            path = pathlib.Path(settings.key_file)
            key = path.read_text(encoding="utf-8").strip()
        except OSError as error:
            raise errors.UsageError(
                f"--key_file={settings.key_file!r}: {error.strerror}; name "
                "a readable file"
            ) from error
    if not key:
        raise errors.UsageError(
            "no operator key: name a file with it in --key_file, or set "
            f"{variable_name('operator_key')}"
        )
    return key


def variable_name(setting: str) -> str:
    """Returns the name of a setting's environment variable."""
    return flag_sources.variable_name(ENVIRONMENT_PREFIX, setting)


def _format_error(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    message = first["msg"].removeprefix("Value error, ")
    return f"--{first['loc'][0]}={first['input']!r}: {message}"
