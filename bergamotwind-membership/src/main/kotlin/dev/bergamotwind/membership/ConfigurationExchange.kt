package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** The configuration log as membership needs it. Functions are called on the membership duty and must not block. */
public interface ConfigurationExchange {
    /** The revision that this node has applied. */
    public fun appliedRevision(): Revision

    /**
     * Returns the changes after [revision] as JSON, oldest first, up to about [maximumBytes] but at least one if
     * there is one. The texts are opaque here; the first may hold a snapshot when the log no longer reaches back.
     */
    public fun changesAfter(revision: Revision, maximumBytes: Int): List<String>

    /** Takes over [changes] that a peer sent; they may be known already. */
    public fun receive(changes: List<String>)

    /** An exchange without changes, for nodes that get them elsewhere. */
    public companion object None : ConfigurationExchange {
        override fun appliedRevision(): Revision = Revision(Long.MAX_VALUE)

        override fun changesAfter(revision: Revision, maximumBytes: Int): List<String> = emptyList()

        override fun receive(changes: List<String>): Unit = Unit
    }
}
