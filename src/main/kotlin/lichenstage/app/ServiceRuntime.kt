package lichenstage.app

import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import lichenstage.common.exitOnFailure
import lichenstage.config.Settings

/** Starts a controller on a single event loop and returns; its threads keep the process alive. */
fun serve(
    settings: Settings,
    operator: OperatorSettings = OperatorSettings(),
) {
    configureLibraries()
    val vertx = createBatchingVertx(vertxOptions())
    val context = vertx.getOrCreateContext()
    context.runOnContext {
        val exitOnException = CoroutineExceptionHandler { _, e -> exitOnFailure("a coroutine failed", e) }
        Controller(vertx, settings, operator, CoroutineScope(context.dispatcher() + SupervisorJob() + exitOnException)).start()
    }
}

/** Settings that Vert.x and Netty read from system properties while their classes are loaded. */
private fun configureLibraries() {
    // Addresses are numeric and no file is served, so neither resolver threads nor a file cache are needed.
    System.setProperty("vertx.disableDnsResolver", "true")
    System.setProperty("vertx.disableFileCaching", "true")
    System.setProperty("vertx.disableFileCPResolving", "true")
    System.setProperty("io.netty.eventLoopThreads", "1")
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.noPreferDirect", "true")
    // Netty's allocator events would start the JVM's flight recorder, which takes a sixth of the processor time of a start.
    System.setProperty("io.netty.jfr.enabled", "false")
}

private fun vertxOptions(): VertxOptions =
    VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MS)
        .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))

/** Everything runs on the event loop and nothing blocks it: the check for blocked threads would only cost processor time. */
private const val BLOCKED_THREAD_CHECK_MS = 3_600_000L
