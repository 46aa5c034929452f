package dev.bergamotwind.api

/** One header field of a message, with the name as it was received or is to be sent. */
public data class Header(val name: String, val value: String)

/** Returns the value of the first header called [name], ignoring case, or null. */
public fun List<Header>.value(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
