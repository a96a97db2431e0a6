package lichenstage.common

/** A numeric IP address and a port. Host names are not used, because the machines have no name resolution. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"
}

private const val MAX_PORT = 65_535

/** Parses HOST:PORT. Returns null if [text] does not have this form. */
fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in 1..MAX_PORT) null else Address(host, port)
}
