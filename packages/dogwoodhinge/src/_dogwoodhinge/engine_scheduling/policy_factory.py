"""Creates the policies of engine owners."""

from typing import Protocol, final

from _dogwoodhinge import errors
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.engine_scheduling import policy


class PolicyFactory(Protocol):
    """Creates the policies of an engine owner."""

    def queue_policy(self) -> policy.QueuePolicy:
        """Creates a queue policy for one engine."""

    def eviction_policy(self) -> policy.EvictionPolicy:
        """Creates an eviction policy for one engine."""


@final
class KernelPolicyFactory:
    """Creates the policies named in the settings through plug-ins.

    Raises:
        KernelError: no plug-in provides one of them.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: settings_lib.Settings
    ) -> None:
        self.hook = kernel.manager.hook
        self.settings = settings
        # Fails at startup, not at the first engine, if a name is unknown.
        self.queue_policy()
        self.eviction_policy()

    def queue_policy(self) -> policy.QueuePolicy:
        """See `PolicyFactory`.

        Raises:
            KernelError: no plug-in provides it.
        """
        name = self.settings.queue_policy
        instance = self.hook.make_queue_policy(name=name)
        if instance is None:
            raise errors.KernelError(
                f"--queue_policy={name!r}: no plug-in provides this policy; "
                "use deadline or fifo"
            )
        return instance

    def eviction_policy(self) -> policy.EvictionPolicy:
        """See `PolicyFactory`.

        Raises:
            KernelError: no plug-in provides it.
        """
        name = self.settings.eviction_policy
        instance = self.hook.make_eviction_policy(name=name)
        if instance is None:
            raise errors.KernelError(
                f"--eviction_policy={name!r}: no plug-in provides this policy; "
                "use least-worth or lru"
            )
        return instance
