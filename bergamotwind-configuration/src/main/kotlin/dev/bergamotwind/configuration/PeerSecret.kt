package dev.bergamotwind.configuration

/** The shared secret of the nodes. [toString] hides it, so that it does not appear in logs. */
@JvmInline
public value class PeerSecret(private val value: String) {
    /** Returns the secret in UTF-8, for use as a MAC key. */
    public fun toByteArray(): ByteArray = value.encodeToByteArray()

    override fun toString(): String = "(hidden)"
}
