package dev.bergamotwind.configuration

/** Collects the validation errors of one edit. */
internal class EditErrorCollector private constructor() {
    private val errors = mutableListOf<String>()

    fun addError(message: String) {
        errors += message
    }

    fun requireThat(holds: Boolean, message: String) {
        if (!holds) addError(message)
    }

    fun requireValidId(kind: String, value: String): Unit =
        requireThat(IdRules.isValidId(value), "$kind '$value' has an id that is not permitted")

    fun <T> requireExists(kind: String, id: T, items: Map<T, *>): Unit =
        requireThat(id in items, "$kind $id does not exist")

    fun requireUnused(item: String, users: List<Any>): Unit =
        requireThat(users.isEmpty(), "$item is used by ${users.joinToString()}")

    companion object {
        fun collect(checks: EditErrorCollector.() -> Unit): List<String> = EditErrorCollector().apply(checks).errors
    }
}
