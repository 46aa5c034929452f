package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** SHA-256 digest of a caller's key in lower-case hexadecimal. The key itself is never stored or sent. */
@Serializable
@JvmInline
public value class KeyDigest(public val value: String) : Comparable<KeyDigest> {
    override fun compareTo(other: KeyDigest): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
