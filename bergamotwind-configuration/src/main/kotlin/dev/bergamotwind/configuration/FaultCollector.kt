package dev.bergamotwind.configuration

/** Collects the faults of one edit. */
internal class FaultCollector private constructor() {
    private val faults = mutableListOf<String>()

    fun add(fault: String) {
        faults += fault
    }

    fun require(holds: Boolean, fault: String) {
        if (!holds) add(fault)
    }

    fun id(kind: String, value: String): Unit =
        require(Names.isName(value), "$kind '$value' has an id that is not permitted")

    fun <T> exists(kind: String, id: T, items: Map<T, *>): Unit = require(id in items, "$kind $id does not exist")

    fun unused(item: String, users: List<Any>): Unit =
        require(users.isEmpty(), "$item is used by ${users.joinToString()}")

    companion object {
        fun collect(collect: FaultCollector.() -> Unit): List<String> = FaultCollector().apply(collect).faults
    }
}
