package dev.bergamotwind.configuration

/** The shared secret of the nodes. Its text form hides it, so that no log line shows it. */
@JvmInline
public value class PeerSecret(private val value: String) {
    /** Returns the secret in UTF-8, for use as a MAC key. */
    public fun encoded(): ByteArray = value.encodeToByteArray()

    override fun toString(): String = "(hidden)"
}
