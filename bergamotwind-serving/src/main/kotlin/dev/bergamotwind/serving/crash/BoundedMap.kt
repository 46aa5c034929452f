package dev.bergamotwind.serving.crash

/** A map that forgets the entries that were put longest ago beyond [limit]. */
internal class BoundedMap<K, V>(private val limit: Int) : LinkedHashMap<K, V>() {
    /** Sets the value of [key] and makes it the latest entry. */
    fun putLast(key: K, value: V) {
        remove(key)
        put(key, value)
    }

    override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > limit
}
