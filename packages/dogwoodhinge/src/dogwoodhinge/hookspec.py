"""Hook specifications: the extension points for plug-ins.

A plug-in is a module or object with functions decorated with
`dogwoodhinge.hookimpl.hookimpl`. It is registered through an entry point of
the group `dogwoodhinge.plugins` or through `--plugins`. The built-in plug-ins
use the same hooks. All hooks here are `firstresult`: an implementation returns
None for a URL scheme or name that it does not support, and the kernel calls the
next one. Plug-ins are called in reverse order of registration.
"""

import pluggy

from dogwoodhinge import hookimpl as hookimpl_lib
from dogwoodhinge import models
from dogwoodhinge import ports

hookspec = pluggy.HookspecMarker(hookimpl_lib.PROJECT_NAME)


@hookspec(firstresult=True)
def open_table(url: str, clock: ports.Clock) -> ports.TableService | None:
    """Opens the table service at `url` (`--table_url`)."""


@hookspec(firstresult=True)
def open_object_store(url: str, clock: ports.Clock) -> ports.ObjectStore | None:
    """Opens the object store at `url` (`--object_store_url`)."""


@hookspec(firstresult=True)
def open_weight_store(
    url: str, width: models.StoreWidth, clock: ports.Clock
) -> ports.WeightStore | None:
    """Opens the weight store's index at `url` (`--weight_store_url`)."""


@hookspec(firstresult=True)
def open_host_list(url: str, clock: ports.Clock) -> ports.HostList | None:
    """Opens the host list at `url` (`--host_list_url`)."""


@hookspec(firstresult=True)
def open_fleet_view(url: str) -> ports.FleetView | None:
    """Opens a view of the fleet state at `url` (`dogwoodctl --fleet_url`).

    Plug-ins with this hook are registered in the group `dogwoodctl.plugins`.
    """


@hookspec(firstresult=True)
def open_engine(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.Engine | None:
    """Creates the client of an engine from its entry in the host list."""


@hookspec(firstresult=True)
def open_plain_service(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.PlainService | None:
    """Creates the client of a plain service from its host list entry."""


@hookspec(firstresult=True)
def make_queue_policy(name: str) -> object | None:
    """Creates the queue policy named `name` (`--queue_policy`).

    Engine owners use it to order the requests that can start.

    Returns an `_dogwoodhinge.engine_scheduling.policy.QueuePolicy`.
    """


@hookspec(firstresult=True)
def make_eviction_policy(name: str) -> object | None:
    """Creates the eviction policy named `name` (`--eviction_policy`).

    Returns an `_dogwoodhinge.engine_scheduling.policy.EvictionPolicy`.
    """


@hookspec(firstresult=True)
def make_routing_policy(name: str) -> object | None:
    """Creates the routing policy named `name` (`--routing_policy`).

    Returns an `_dogwoodhinge.routing.policy.RoutingPolicy`.
    """
