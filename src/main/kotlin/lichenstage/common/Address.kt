package lichenstage.common

/** Where a host can be reached: numbers only, since no name look-up exists on the machines. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"
}

/** HOST:PORT, or null where it is neither. */
fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in 1..65535) null else Address(host, port)
}
