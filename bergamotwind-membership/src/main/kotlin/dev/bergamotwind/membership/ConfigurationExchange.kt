package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** Access of membership to the configuration log. Called on the membership worker thread; must not block. */
public interface ConfigurationExchange {
    /** The revision that this node has applied. */
    public fun appliedRevision(): Revision

    /**
     * Returns the changes after [revision] as JSON, oldest first, up to about [maximumBytes] but at least one if
     * there is one. Membership does not interpret the texts; the first may hold a snapshot if the log no longer
     * reaches back to [revision].
     */
    public fun changesAfter(revision: Revision, maximumBytes: Int): List<String>

    /** Receives [changes] from a peer; some or all of them may be known already. */
    public fun receiveChanges(changes: List<String>)

    /** An exchange without changes, for nodes that get them by other means. */
    public companion object None : ConfigurationExchange {
        override fun appliedRevision(): Revision = Revision(Long.MAX_VALUE)

        override fun changesAfter(revision: Revision, maximumBytes: Int): List<String> = emptyList()

        override fun receiveChanges(changes: List<String>): Unit = Unit
    }
}
