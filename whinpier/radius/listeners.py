"""What listeners of streams are configured by, with the files that TLS needs: plain types below
both sides.

Reads certificates and keys when it is asked to. Must never listen, or know how a stream is read.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone
from pathlib import Path

from whinpier import log
from whinpier.config.model import Address, ConfigFault
from whinpier.storage.bounded_files import read_bounded

SOON = timedelta(days=14)  # before the end of a certificate that is said when it is read


@dataclass(frozen=True)
class TlsSpec:
    """What a TLS listener proves itself by, and whom it believes."""

    certificate: str
    key: str
    authorities: str

    def context(self, at: str) -> ssl.SSLContext:
        """A context of these files as they are now. Raises ConfigFault, naming the key of what is wrong."""
        for key in ("certificate", "key", "authorities"):
            path: str = getattr(self, key)
            try:
                read_bounded(path, private=key == "key")
            except OSError as fault:
                raise ConfigFault(f"{at}.{key}: {fault}") from None
            except ValueError as fault:
                raise ConfigFault(
                    f"{at}.{key}: {path} {fault}; its mode must be 600"
                    if key == "key"
                    else f"{at}.{key}: {path} {fault}"
                ) from None
        self.check_time(at)
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        made.minimum_version = ssl.TLSVersion.TLSv1_2
        made.verify_mode = ssl.CERT_REQUIRED
        try:
            made.load_cert_chain(self.certificate, self.key)
            made.load_verify_locations(self.authorities)
        except (OSError, ssl.SSLError) as fault:
            raise ConfigFault(
                f"{at}: {self.certificate}, {self.key}, {self.authorities}: {fault}"
            ) from None
        return made

    def check_time(self, at: str) -> None:
        """Guards against a listener that every peer refuses: a certificate that is over, or not yet valid."""
        try:
            from cryptography import x509
        except ImportError:
            raise ConfigFault(f"{at}: TLS needs the package cryptography (whinpier[tls])") from None
        try:
            own = x509.load_pem_x509_certificate(Path(self.certificate).read_bytes())
        except (OSError, ValueError) as fault:
            raise ConfigFault(f"{at}.certificate: {self.certificate}: {fault}") from None
        now = datetime.now(timezone.utc)
        if not own.not_valid_before_utc <= now <= own.not_valid_after_utc:
            raise ConfigFault(
                f"{at}.certificate: {self.certificate} is valid from "
                f"{own.not_valid_before_utc} to {own.not_valid_after_utc}"
            )
        if own.not_valid_after_utc - now < SOON:
            log.warning(
                "certificate_ends_soon", file=self.certificate, ends=own.not_valid_after_utc
            )


@dataclass(frozen=True)
class StreamSpec:
    """One listener."""

    listen: Address
    tls: TlsSpec | None = None
