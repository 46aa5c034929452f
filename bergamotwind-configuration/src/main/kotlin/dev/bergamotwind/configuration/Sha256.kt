package dev.bergamotwind.configuration

import dev.bergamotwind.api.KeyDigest
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 digest of [key] in UTF-8. */
public fun keyDigest(key: String): KeyDigest = KeyDigest(sha256(key))

/** Returns the SHA-256 digest of [text] in UTF-8, in lower-case hexadecimal. */
public fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

/** Returns the first digits of a digest, enough to identify a key in messages. */
public fun KeyDigest.abbreviated(): String = value.take(ABBREVIATED_DIGEST_LENGTH)
