"""Reads settings from flags, or from environment variables as a fallback."""

from collections.abc import Iterable, Mapping

from absl import flags


def variable_name(prefix: str, setting: str) -> str:
    """Returns the name of a setting's environment variable."""
    return prefix + setting.upper()


def collect(
    names: Iterable[str],
    *,
    prefix: str,
    environment: Mapping[str, str],
    flag_values: flags.FlagValues,
) -> dict[str, object]:
    """Returns the settings that are set; flags override variables.

    Args:
        names: names of the settings, which are the names of their flags.
        prefix: prefix of the variable names.
        environment: environment of the process.
        flag_values: the parsed flags; a flag that is not set is None.
    """
    values: dict[str, object] = {}
    for name in names:
        given = flag_values[name].value
        if given is None:
            given = environment.get(variable_name(prefix, name))
        if given is not None:
            values[name] = given
    return values
