package lichenstage.app

/**
 * Configures slf4j-simple for [level] (`error`, `warn`, `info` or `debug`; `info` if it is null or unknown). Must run before the first
 * logger is created: slf4j-simple reads these properties once.
 */
internal fun configureLogging(level: String?) {
    val known = level?.lowercase()?.takeIf { it in LEVELS } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
    System.setProperty("${LOGGER_LEVEL}io.netty", "error")
    System.setProperty("${LOGGER_LEVEL}io.vertx", "error")
    System.setProperty("${LOGGER_LEVEL}io.micrometer", "error")
    // The callers log failed connections and requests; a network partition would add hundreds of lines of the library's own.
    System.setProperty("${LOGGER_LEVEL}io.vertx.core.net.impl.ConnectionBase", "off")
    System.setProperty("${LOGGER_LEVEL}io.vertx.core.http.impl.HttpClientRequestImpl", "off")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    // The platform adds the time to each line; a process that is started by hand may set the property.
    if (System.getProperty(SHOW_TIME) == null) System.setProperty(SHOW_TIME, "false")
}

private val LEVELS = setOf("error", "warn", "info", "debug")
private const val LOGGER_LEVEL = "org.slf4j.simpleLogger.log."
private const val SHOW_TIME = "org.slf4j.simpleLogger.showDateTime"
