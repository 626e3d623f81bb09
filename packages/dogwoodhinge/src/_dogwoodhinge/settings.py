"""Settings of a node: absl flags, each also an environment variable.

The variable of `--table_url` is `DOGWOODHINGE_TABLE_URL`. A flag on the
command line overrides its variable, and the variable overrides the default.
Secrets are read from files or variables and are never flags themselves.
"""

from collections.abc import Mapping
import datetime
import pathlib
import textwrap
from typing import Annotated, Literal

from absl import flags
import pydantic

from _dogwoodhinge import errors
from _dogwoodhinge import flag_sources

ENVIRONMENT_PREFIX = "DOGWOODHINGE_"

HELP_WIDTH = 78  # columns
HELP_INDENT = "      "

Url = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z0-9+]+://.+$")]
Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
PositiveSeconds = Annotated[float, pydantic.Field(gt=0, le=3_600)]


class Settings(pydantic.BaseModel):
    """All settings of a node; each field is a flag of the same name."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host_id: str = pydantic.Field(
        min_length=1, description="name of this host in the list of hosts"
    )
    address: str = pydantic.Field(
        default="127.0.0.1", description="IP address that all ports bind to"
    )
    zone: str = pydantic.Field(
        default="zone-a", min_length=1, description="availability zone"
    )
    region: str = pydantic.Field(
        default="region-1", min_length=1, description="region"
    )
    caller_port: Port = pydantic.Field(
        default=8080, description="HTTP port for callers; 0 picks one"
    )
    operator_port: Port = pydantic.Field(
        default=8081, description="HTTP port for operators; 0 picks one"
    )
    peer_port: Port = pydantic.Field(
        default=8082, description="gRPC port for peers; 0 picks one"
    )
    table_url: Url = pydantic.Field(
        description="table service, e.g. dynamodb+http://10.0.0.5:9000"
    )
    object_store_url: Url = pydantic.Field(
        description="object store, e.g. s3+http://10.0.0.5:9001/bucket"
    )
    weight_store_url: Url = pydantic.Field(
        description="weight store, e.g. s3+http://10.0.0.5:9002/weights"
    )
    host_list_url: Url = pydantic.Field(
        description="list of hosts, e.g. sd+http://10.0.0.5:9003/hosts"
    )
    store_full_speed: int = pydantic.Field(
        default=2, ge=1, description="loads at once at the store's full speed"
    )
    store_crowded_from: int = pydantic.Field(
        default=16, ge=1, description="loads in flight that crowd the store"
    )
    store_loads_per_second: float = pydantic.Field(
        default=3.0, gt=0, description="loads a second the store sustains"
    )
    session_ttl_seconds: PositiveSeconds = pydantic.Field(
        default=9.0, description="life of a session lease without renewal"
    )
    renew_seconds: PositiveSeconds = pydantic.Field(
        default=3.0, description="time between renewals of the session"
    )
    host_poll_seconds: PositiveSeconds = pydantic.Field(
        default=1.0, description="time between reads of the list of hosts"
    )
    config_poll_seconds: PositiveSeconds = pydantic.Field(
        default=1.0, description="time between reads of the head revision"
    )
    report_poll_seconds: PositiveSeconds = pydantic.Field(
        default=1.0, description="time between reads of an engine's report"
    )
    report_lag_seconds: PositiveSeconds = pydantic.Field(
        default=2.0, description="how late an engine's report may be"
    )
    order_timeout_seconds: PositiveSeconds = pydantic.Field(
        default=2.0,
        description="send timeout of an order to an engine without fencing",
    )
    load_timeout_seconds: PositiveSeconds = pydantic.Field(
        default=20.0, description="time allowed to a load"
    )
    start_within_seconds: PositiveSeconds = pydantic.Field(
        default=5.0, description="time from a grant to its dispatch"
    )
    gap_seconds: PositiveSeconds = pydantic.Field(
        default=5.0, description="silence after which a stream is resumed"
    )
    default_deadline_seconds: PositiveSeconds = pydantic.Field(
        default=60.0, description="deadline of a request that sets none"
    )
    drain_notice_seconds: float = pydantic.Field(
        default=3.0,
        ge=0,
        le=600,
        description="time from unready until the balancer sends no more",
    )
    max_body_bytes: int = pydantic.Field(
        default=1_000_000,
        ge=1_000,
        le=100_000_000,
        description="size of the largest request body",
    )
    max_held_body_bytes: int = pydantic.Field(
        default=64_000_000,
        ge=1_000,
        description="memory for the heads, bodies and unread answers of all "
        "requests together; beyond it, requests are refused and callers that "
        "do not read are closed",
    )
    body_pause_seconds: PositiveSeconds = pydantic.Field(
        default=30.0,
        description="time without data after which a body is given up",
    )
    max_connections: int = pydantic.Field(
        default=2_000,
        ge=1,
        description="connections of callers; for one more, the oldest without "
        "a request is closed",
    )
    keepalive_seconds: PositiveSeconds = pydantic.Field(
        default=75.0,
        description="time without a whole request head after which a "
        "connection is closed",
    )
    queue_policy: str = pydantic.Field(
        default="deadline", description="owner's queue policy"
    )
    eviction_policy: str = pydantic.Field(
        default="least-worth", description="eviction policy"
    )
    routing_policy: str = pydantic.Field(
        default="owner", description="routing policy"
    )
    candidates: int = pydantic.Field(
        default=2, ge=1, le=64, description="engines weighed for an adapter"
    )
    log_format: Literal["pairs", "json"] = pydantic.Field(
        default="pairs", description="form of the decision log lines"
    )
    plugins: str = pydantic.Field(
        default="", description="modules to register as plug-ins, by commas"
    )
    operator_key_file: str = pydantic.Field(
        default="",
        description="file with the operators' key; or the variable "
        "DOGWOODHINGE_OPERATOR_KEY",
    )
    peer_key_file: str = pydantic.Field(
        default="",
        description="file with the key that peers share; or the variable "
        "DOGWOODHINGE_PEER_KEY",
    )
    peer_tls_cert_file: str = pydantic.Field(
        default="", description="PEM certificate shown to peers"
    )
    peer_tls_key_file: str = pydantic.Field(
        default="", description="PEM key of the certificate shown to peers"
    )
    peer_tls_ca_file: str = pydantic.Field(
        default="", description="PEM authority that peers are checked against"
    )
    http_tls_cert_file: str = pydantic.Field(
        default="", description="PEM certificate for callers and operators"
    )
    http_tls_key_file: str = pydantic.Field(
        default="", description="PEM key for callers and operators"
    )
    enable_injection: bool = pydantic.Field(
        default=False, description="accept fault injection; for tests only"
    )
    injection: str = pydantic.Field(
        default="",
        description="faults by commas, each step=action@visit; actions: "
        "kill, stop, hang, fail; needs --enable_injection",
    )

    @pydantic.model_validator(mode="after")
    def _check_combinations(self) -> "Settings":
        if self.session_ttl_seconds < 2 * self.renew_seconds:
            raise ValueError(
                f"--session_ttl_seconds={self.session_ttl_seconds} must be "
                f"at least twice --renew_seconds={self.renew_seconds}"
            )
        if self.injection and not self.enable_injection:
            raise ValueError(
                f"--injection={self.injection!r} needs --enable_injection"
            )
        self._check_tls()
        return self

    def _check_tls(self) -> None:
        peer_files = (
            self.peer_tls_cert_file,
            self.peer_tls_key_file,
            self.peer_tls_ca_file,
        )
        if any(peer_files) and not all(peer_files):
            raise ValueError(
                "--peer_tls_cert_file, --peer_tls_key_file and "
                "--peer_tls_ca_file must be set together: set all three or none"
            )
        if bool(self.http_tls_cert_file) != bool(self.http_tls_key_file):
            raise ValueError(
                "--http_tls_cert_file and --http_tls_key_file must be set "
                "together: set both or neither"
            )

    def seconds(self, name: str) -> datetime.timedelta:
        """Returns the value of the setting `<name>_seconds`."""
        return datetime.timedelta(seconds=getattr(self, f"{name}_seconds"))


def define_flags(flag_values: flags.FlagValues = flags.FLAGS) -> None:
    """Defines a flag without a default for each setting.

    The defaults are those of the fields of `Settings`.
    """
    for name, field in Settings.model_fields.items():
        flags.DEFINE_string(
            name,
            None,
            _help_text(name, field.description or "", field.default),
            flag_values=flag_values,
            module_name="dogwoodhinge",
        )


def help_page() -> str:
    """Returns the text that `--help` prints."""
    lines = [
        "Runs one node of dogwoodhinge, the serving layer for LoRA adapters.",
        "",
        "usage: dogwoodhinge [--flag=value ...]",
        "",
        "A flag goes before its variable, the variable before the default.",
        "Exit codes: 0 drained, 2 wrong setting, 3 drain cut short.",
        "",
        "flags:",
    ]
    for name, field in Settings.model_fields.items():
        text = _help_text(name, field.description or "", field.default)
        lines.append(f"  --{name}")
        lines.append(
            textwrap.fill(
                text,
                HELP_WIDTH,
                initial_indent=HELP_INDENT,
                subsequent_indent=HELP_INDENT,
            )
        )
    return "\n".join(lines)


def load(
    environment: Mapping[str, str],
    flag_values: flags.FlagValues = flags.FLAGS,
) -> Settings:
    """Reads and validates all settings.

    Raises:
        SettingsError: a setting is invalid; the one-line message names the
            flag, its value and the allowed values.
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
        raise errors.SettingsError(_describe(error)) from error


def load_secret(name: str, path: str, environment: Mapping[str, str]) -> str:
    """Reads a secret from its file or its environment variable.

    Args:
        name: name of the secret, e.g. `operator_key`.
        path: value of its file flag; empty if the flag is not set.
        environment: environment of the process.

    Raises:
        SettingsError: neither is set, or the file can't be read.
    """
    if not path:
        path = environment.get(variable_name(f"{name}_file"), "")
    if path:
        try:
            secret = pathlib.Path(path).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise errors.SettingsError(
                f"--{name}_file={path!r}: {error.strerror}; use a file that "
                "the node can read"
            ) from error
    else:
        secret = environment.get(variable_name(name), "")
    if not secret:
        raise errors.SettingsError(
            f"--{name}_file is empty: set it to a file with the key, or set "
            f"{variable_name(name)}"
        )
    return secret


def variable_name(setting: str) -> str:
    """Returns the name of a setting's environment variable."""
    return flag_sources.variable_name(ENVIRONMENT_PREFIX, setting)


def _help_text(name: str, description: str, default: object) -> str:
    text = f"{description}; variable {variable_name(name)}"
    if default in ("", None) or "Undefined" in repr(default):
        return text
    return f"{text}; default {default}"


def _describe(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    message = first["msg"].removeprefix("Value error, ")
    if not first["loc"]:
        return message
    name = str(first["loc"][0])
    if first["type"] == "missing":
        description = Settings.model_fields[name].description
        return f"--{name} is not set: {description}"
    return f"--{name}={first['input']!r}: {message}"
