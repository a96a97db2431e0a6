package lichenstage.app

/**
 * Sets the log level of slf4j-simple to [level]: `error`, `warn`, `info` or `debug`; `info` if [level] is null or unknown. Must run before
 * the first logger is created, because slf4j-simple reads its properties only once.
 */
internal fun configureLogging(level: String?) {
    val effectiveLevel = level?.lowercase()?.takeIf { it in LOG_LEVELS } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", effectiveLevel)
    System.setProperty("${LOGGER_LEVEL_PREFIX}io.netty", "error")
    System.setProperty("${LOGGER_LEVEL_PREFIX}io.vertx", "error")
    System.setProperty("${LOGGER_LEVEL_PREFIX}io.micrometer", "error")
    // The callers log failed connections and requests. During a network partition Vert.x would log hundreds of lines of its own about them.
    System.setProperty("${LOGGER_LEVEL_PREFIX}io.vertx.core.net.impl.ConnectionBase", "off")
    System.setProperty("${LOGGER_LEVEL_PREFIX}io.vertx.core.http.impl.HttpClientRequestImpl", "off")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    // The platform adds the time to each line. A user who starts the process by hand may set this property.
    if (System.getProperty(SHOW_TIME_PROPERTY) == null) System.setProperty(SHOW_TIME_PROPERTY, "false")
}

private val LOG_LEVELS = setOf("error", "warn", "info", "debug")
private const val LOGGER_LEVEL_PREFIX = "org.slf4j.simpleLogger.log."
private const val SHOW_TIME_PROPERTY = "org.slf4j.simpleLogger.showDateTime"
