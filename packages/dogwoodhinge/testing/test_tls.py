"""Tests of `_dogwoodhinge.tls`."""

import datetime
import ipaddress
import pathlib
import socket
from unittest import mock

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from grpclib import server as grpc_server
import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge import tls
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.peer import server


def write_certificate(
    directory: pathlib.Path, name: str
) -> settings_lib.Settings:
    """Writes a self-signed certificate and returns settings that use it."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    cert_file = directory / f"{name}.crt"
    key_file = directory / f"{name}.key"
    cert_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return make_settings(str(cert_file), str(key_file), str(cert_file))


def make_settings(
    cert_file: str, key_file: str, ca_file: str
) -> settings_lib.Settings:
    return settings_lib.Settings(
        host_id="host-1",
        table_url="dynamodb+http://127.0.0.1:1",
        object_store_url="s3+http://127.0.0.1:1/objects",
        weight_store_url="s3+http://127.0.0.1:1/weights",
        host_list_url="sd+http://127.0.0.1:1/hosts",
        peer_tls_cert_file=cert_file,
        peer_tls_key_file=key_file,
        peer_tls_ca_file=ca_file,
    )


async def test_only_peers_with_certificate_of_the_authority_are_served(
    tmp_path: pathlib.Path,
) -> None:
    fleet = write_certificate(tmp_path, "fleet")
    untrusted = write_certificate(tmp_path, "stranger")
    handler = mock.Mock()
    handler.return_permit = mock.AsyncMock()
    peer = server.PeerServer(
        key="key",
        admission=handler,
        hand_overs=handler,
        grants=handler,
        reachability=handler,
        quota=handler,
        permits=handler,
        changes=handler,
        convictions=handler,
        decisions=handler,
    )
    listener = grpc_server.Server([peer])
    bound = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{bound.getsockname()[1]}"
    await listener.start(sock=bound, ssl=tls.peer_server_context(fleet))
    request = peer_pb2.ReturnLoadPermitRequest(store="weights")
    for shown, expected in [(fleet, None), (untrusted, errors.PeerError)]:
        peers = client.PeerClient(
            key="key", revision=lambda: 0, tls=tls.peer_client_context(shown)
        )
        if expected is None:
            await peers.call(address, "ReturnLoadPermit", request)
        else:
            with pytest.raises(expected):
                await peers.call(address, "ReturnLoadPermit", request)
        peers.close()
    assert handler.return_permit.await_count == 1
    listener.close()
    await listener.wait_closed()


def test_error_names_invalid_file(tmp_path: pathlib.Path) -> None:
    broken = tmp_path / "broken.crt"
    broken.write_text("no PEM")
    wrong = make_settings(str(broken), str(broken), str(broken))
    with pytest.raises(errors.SettingsError, match="broken.crt"):
        tls.peer_server_context(wrong)
