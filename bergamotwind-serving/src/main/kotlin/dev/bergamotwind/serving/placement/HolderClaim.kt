package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.store.StoreEra

/** The value of the items that name the placement holder and the last holder: `IDENTITY[/waiting][!ERA]#ID`. */
internal data class HolderClaim(
    /** Identity of the VM that has claimed the term. */
    val identity: String,
    /** Random id that both items of one holder carry, and no other holder's; null when it cannot be read. */
    val id: Long?,
    /** Era of the store in which the term was claimed. */
    val era: StoreEra,
    /** True when the VM still had to wait for its predecessor when it wrote the item. */
    val isWaiting: Boolean = false,
) {
    /** Returns the value of an item. */
    fun encode(): ByteArray = buildString {
        append(identity)
        if (isWaiting) append(WAITING_MARK)
        if (era != StoreEra.UNNAMED) append(ERA_SEPARATOR).append(era)
        append(ID_SEPARATOR).append(id)
    }.toByteArray()

    companion object {
        private const val ID_SEPARATOR = '#'
        private const val ERA_SEPARATOR = '!'
        private const val WAITING_MARK = "/waiting"

        /** Decodes the [value] of an item; one of another writer names a VM that does not exist. */
        fun decode(value: ByteArray): HolderClaim {
            val text = value.decodeToString()
            val name = text.substringBeforeLast(ID_SEPARATOR)
            val era = name.substringAfterLast(ERA_SEPARATOR, "").toLongOrNull()
            val markedIdentity = if (era == null) name else name.substringBeforeLast(ERA_SEPARATOR)
            return HolderClaim(
                identity = markedIdentity.removeSuffix(WAITING_MARK),
                id = text.substringAfterLast(ID_SEPARATOR).toLongOrNull(),
                era = era?.let(::StoreEra) ?: StoreEra.UNNAMED,
                isWaiting = markedIdentity.endsWith(WAITING_MARK),
            )
        }
    }
}
