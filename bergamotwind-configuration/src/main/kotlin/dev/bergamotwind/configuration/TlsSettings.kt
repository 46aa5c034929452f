package dev.bergamotwind.configuration

import java.nio.file.Path

/** Paths of the certificate chain and its private key, both PEM. */
public data class TlsSettings(val certificate: Path, val key: Path)
