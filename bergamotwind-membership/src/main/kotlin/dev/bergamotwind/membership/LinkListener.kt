package dev.bergamotwind.membership

/** Receives the events of links, on the threads of the links. */
internal interface LinkListener {
    fun onOpened(link: Link)

    fun onMessage(link: Link, received: Link.ReceivedMessage)

    fun onClosed(link: Link, reason: String)

    /** A connection with [address] has failed before it was authenticated. */
    fun onConnectionFailed(address: String, reason: String, message: String)
}
