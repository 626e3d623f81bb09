"""Registers plug-ins and opens the ports that they implement."""

from collections.abc import Iterable
import importlib
from typing import TypeVar

import pluggy

from _dogwoodhinge import errors
from _dogwoodhinge.routing import policy
from dogwoodhinge import hookimpl
from dogwoodhinge import hookspec
from dogwoodhinge import models
from dogwoodhinge import ports

ENTRY_POINT_GROUP = "dogwoodhinge.plugins"

# A separate group, so that nodes do not load plug-ins for operators only.
OPERATOR_ENTRY_POINT_GROUP = "dogwoodctl.plugins"

BUILT_IN_PLUGINS = (
    "_dogwoodhinge.platform.dynamo_table",
    "_dogwoodhinge.platform.s3_objects",
    "_dogwoodhinge.platform.s3_weights",
    "_dogwoodhinge.platform.http_sd",
    "_dogwoodhinge.platform.openai_engine",
    "_dogwoodhinge.platform.http_service",
    "_dogwoodhinge.engine_scheduling.policies",
    "_dogwoodhinge.routing.policies",
)

T = TypeVar("T")


class Kernel:
    """Opens ports and policies through the registered plug-ins."""

    def __init__(self, *, clock: ports.Clock) -> None:
        self.clock = clock
        self.manager = pluggy.PluginManager(hookimpl.PROJECT_NAME)
        self.manager.add_hookspecs(hookspec)

    def register_all(self, modules: Iterable[str] = ()) -> None:
        """Registers the built-in and installed plug-ins, then `modules`.

        Raises:
            KernelError: a module can't be imported.
        """
        for name in BUILT_IN_PLUGINS:
            self.manager.register(importlib.import_module(name), name)
        self.manager.load_setuptools_entrypoints(ENTRY_POINT_GROUP)
        for name in modules:
            self.manager.register(_import_plugin(name), name)

    def register_operator_tools(self) -> None:
        """Registers the installed plug-ins that only dogwoodctl needs."""
        self.manager.load_setuptools_entrypoints(OPERATOR_ENTRY_POINT_GROUP)

    def open_table(self, url: str) -> ports.TableService:
        """Opens the table service."""
        result = self.manager.hook.open_table(url=url, clock=self.clock)
        return _require(result, "table service", "--table_url", url)

    def open_object_store(self, url: str) -> ports.ObjectStore:
        """Opens the object store."""
        result = self.manager.hook.open_object_store(url=url, clock=self.clock)
        return _require(result, "object store", "--object_store_url", url)

    def open_weight_store(
        self, url: str, width: models.StoreWidth
    ) -> ports.WeightStore:
        """Opens the weight store's index."""
        result = self.manager.hook.open_weight_store(
            url=url, width=width, clock=self.clock
        )
        return _require(result, "weight store", "--weight_store_url", url)

    def open_host_list(self, url: str) -> ports.HostList:
        """Opens the list of hosts."""
        result = self.manager.hook.open_host_list(url=url, clock=self.clock)
        return _require(result, "list of hosts", "--host_list_url", url)

    def open_fleet_view(self, url: str) -> ports.FleetView:
        """Opens the view of the fleet that the platform provides."""
        result = self.manager.hook.open_fleet_view(url=url)
        return _require(result, "fleet", "--fleet_url", url)

    def open_engine(self, endpoint: models.Endpoint) -> ports.Engine:
        """Creates the client of an engine."""
        result = self.manager.hook.open_engine(
            endpoint=endpoint, clock=self.clock
        )
        return _require(result, "engine", "its entry's url", endpoint.url)

    def open_plain_service(
        self, endpoint: models.Endpoint
    ) -> ports.PlainService:
        """Creates the client of a plain service."""
        result = self.manager.hook.open_plain_service(
            endpoint=endpoint, clock=self.clock
        )
        return _require(
            result, "plain service", "its entry's url", endpoint.url
        )

    def make_routing_policy(self, name: str) -> policy.RoutingPolicy:
        """Creates the routing policy."""
        result = self.manager.hook.make_routing_policy(name=name)
        return _require(result, "routing policy", "--routing_policy", name)


def _import_plugin(name: str) -> object:
    try:
        return importlib.import_module(name)
    except ImportError as error:
        raise errors.KernelError(
            f"--plugins names {name!r}, which can't be imported: {error}"
        ) from error


def _require(result: T | None, what: str, setting: str, value: str) -> T:
    if result is None:
        raise errors.KernelError(
            f"no plug-in handles the {what} {value!r}; check {setting}, or "
            "register a plug-in with --plugins"
        )
    return result
