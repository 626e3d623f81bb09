"""Creates the TLS contexts of the node's ports and peer client."""

import ssl

from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib


def peer_server_context(
    settings: settings_lib.Settings,
) -> ssl.SSLContext | None:
    """Returns the context of the peer port, which requires client certificates.

    Raises:
        SettingsError: a file can't be read or holds no valid PEM.
    """
    if not settings.peer_tls_cert_file:
        return None
    context = _context(ssl.Purpose.CLIENT_AUTH, settings.peer_tls_ca_file)
    context.verify_mode = ssl.CERT_REQUIRED
    _load_chain(
        context,
        "peer",
        settings.peer_tls_cert_file,
        settings.peer_tls_key_file,
    )
    context.set_alpn_protocols(["h2"])
    return context


def peer_client_context(
    settings: settings_lib.Settings,
) -> ssl.SSLContext | None:
    """Returns the context for calls to peers.

    Host names are not verified: hosts are replaced continuously and known by
    IP address, and the certificate authority signs only for this fleet.

    Raises:
        SettingsError: a file can't be read or holds no valid PEM.
    """
    if not settings.peer_tls_cert_file:
        return None
    context = _context(ssl.Purpose.SERVER_AUTH, settings.peer_tls_ca_file)
    context.check_hostname = False
    _load_chain(
        context,
        "peer",
        settings.peer_tls_cert_file,
        settings.peer_tls_key_file,
    )
    context.set_alpn_protocols(["h2"])
    return context


def http_context(settings: settings_lib.Settings) -> ssl.SSLContext | None:
    """Returns the context of the caller and operator ports.

    Raises:
        SettingsError: a file can't be read or holds no valid PEM.
    """
    if not settings.http_tls_cert_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_chain(
        context,
        "http",
        settings.http_tls_cert_file,
        settings.http_tls_key_file,
    )
    return context


def _context(purpose: ssl.Purpose, ca_file: str) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(purpose, cafile=ca_file)
    except OSError as error:
        raise errors.SettingsError(
            f"--peer_tls_ca_file={ca_file!r}: {error}; use a PEM file with "
            "the certificate of the certificate authority"
        ) from error


def _load_chain(
    context: ssl.SSLContext, port: str, cert_file: str, key_file: str
) -> None:
    try:
        context.load_cert_chain(cert_file, key_file)
    except OSError as error:
        raise errors.SettingsError(
            f"--{port}_tls_cert_file={cert_file!r} with "
            f"--{port}_tls_key_file={key_file!r}: {error}; use the PEM files "
            "of a certificate and its private key"
        ) from error
