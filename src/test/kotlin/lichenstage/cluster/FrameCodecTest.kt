package lichenstage.cluster

import lichenstage.model.JobRequirements
import lichenstage.model.Resources
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows

/** Guards against frames that change on their way between controllers, and against crashes on bytes that are not frames. */
class FrameCodecTest {
    @Property(tries = 200, seed = "815")
    fun `every frame equals its decoded encoding`(
        @ForAll("frames") frame: Frame,
    ) {
        val decoded = FrameCodec.decode(FrameCodec.encode(frame))
        assertEquals(frame, decoded) { "$frame was decoded as $decoded" }
    }

    @Example
    fun `decoding bytes that are no frame throws a decoding exception`() {
        for (bytes in listOf(ByteArray(0), byteArrayOf(1, 2, 3), "not a frame".toByteArray())) {
            assertThrows(FrameDecodingException::class.java) { FrameCodec.decode(bytes) }
        }
    }

    @Provide
    fun frames(): Arbitrary<Frame> {
        val numbers = Arbitraries.longs()
        val words = Arbitraries.strings().ofMaxLength(12)
        val commands =
            Combinators
                .combine(words, words, numbers)
                .`as`(::AttemptCommand)
                .list()
                .ofMaxSize(4)
        val requirements = JobRequirements(Resources(1.5, 0.0, 7.25), "img")
        val leader =
            Combinators.combine(words, numbers, numbers, commands, commands).`as` { w, a, b, stops, clears ->
                LeaderFrame(
                    w,
                    a,
                    b,
                    b,
                    a,
                    mapOf(w to requirements),
                    mapOf(w to "1.2.3.4:5"),
                    listOf(PlacementRequest(a, w, requirements, 3, if (a % 2 == 0L) null else listOf(w), null, true)),
                    listOf(StartCommand(a, w, 3, b)),
                    listOf(a, b),
                    stops,
                    clears,
                    setOf(w),
                    if (a > b) emptyList() else listOf(CheckpointStopCommand(w, w, a, b)),
                )
            }
        val partition =
            Combinators.combine(words, numbers, numbers, Arbitraries.of(TaskPhase.entries)).`as` { w, a, b, phase ->
                val machine =
                    MachineState(
                        w,
                        w,
                        w,
                        a > b,
                        a < 0,
                        b > a,
                        b < 0,
                        a == b,
                        if (a >
                            0
                        ) {
                            a
                        } else {
                            null
                        },
                        listOf(TaskState(w, b, phase, null)),
                    )
                PartitionFrame(w, a, b, a, b, a, b, a, b > 0, listOf(machine), listOf(Offer(a, listOf(HeldSlots(w, 2, 3, a > 0)))))
            }
        val others =
            Arbitraries.of(
                Hello("x"),
                Ping(true),
                MoratoriumRequest(1, 2),
                MoratoriumGrant(3, 4),
                CompletionSyncRequest(1, 2, 3, 4, 5),
                CompletionSyncReply(1, 2, 3, 4, 6, listOf("j-1", "j-2"), true),
                JobsEnded(listOf("j-1")),
                ForwardedRequest(1, UserVerb.SUBMIT, "{}"),
                ForwardedReply(1, 503, "{}", null),
                TaskCounts(
                    3,
                    mapOf("j-1" to listOf(1, 2)),
                ),
            )
        val relayed = leader.map { RelayedFrame("a", "b", it) }
        return Arbitraries.oneOf(leader.map { it }, partition.map { it }, others.map { it as Frame }, relayed.map { it })
    }
}
