package lichenstage.app

import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import lichenstage.common.exitOnFailure
import lichenstage.config.Settings

/** Starts a controller on a single event loop and returns. The event loop's thread keeps the process alive. */
fun serve(
    settings: Settings,
    operatorSettings: OperatorSettings = OperatorSettings(),
) {
    configureLibraries()
    val vertx = createBatchingVertx(vertxOptions())
    val context = vertx.getOrCreateContext()
    context.runOnContext {
        val exitOnException = CoroutineExceptionHandler { _, e -> exitOnFailure("Coroutine failed", e) }
        Controller(vertx, settings, operatorSettings, CoroutineScope(context.dispatcher() + SupervisorJob() + exitOnException)).start()
    }
}

/** Sets the system properties that Vert.x and Netty read while their classes are loaded. */
private fun configureLibraries() {
    // All addresses are numeric and no files are served, so neither a DNS resolver nor a file cache is needed.
    System.setProperty("vertx.disableDnsResolver", "true")
    System.setProperty("vertx.disableFileCaching", "true")
    System.setProperty("vertx.disableFileCPResolving", "true")
    System.setProperty("io.netty.eventLoopThreads", "1")
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.noPreferDirect", "true")
    // Netty's allocator events would start JDK Flight Recorder, which takes a sixth of the processor time of a start.
    System.setProperty("io.netty.jfr.enabled", "false")
}

private fun vertxOptions(): VertxOptions =
    VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MS)
        .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))

/** One hour, so that the check for blocked threads takes no processor time. The check is not needed, as no code blocks the event loop. */
private const val BLOCKED_THREAD_CHECK_MS = 3_600_000L
