package lichenstage.placement

import lichenstage.state.Change
import lichenstage.state.Entry
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.platform.commons.util.Preconditions.condition

class RegistryTest {
    private fun machine(number: Int) = Registered("vm-${1000000 + number}", "type", "zone", number % 2 == 0, "10.200.100.50:9000")

    /** Machines come and go and writes fail; what a new leader reads is what was there at the last write that succeeded. */
    @Property(tries = 100, seed = "77")
    fun `what is written is what a new leader reads, in few changes`(
        @ForAll steps: List<Int>,
    ) {
        val registry = Registry(8192)
        val store = HashMap<String, Entry>()
        val there = HashSet<Int>()
        var changes = 0

        fun write(ok: Boolean) {
            val pages = registry.due(12)
            if (!ok) return registry.notWritten(pages)
            for (change in pages.map { it.change }) {
                changes++
                when (change) {
                    is Change.Put -> store[change.key] = Entry(change.key, change.value, 1)
                    is Change.Delete -> store.remove(change.key)
                }
                if (change is Change.Put) condition(change.value.encode().length <= 8192) { "a page over the limit" }
            }
        }
        for (step in steps) {
            val number = Math.floorMod(step, 300)
            if (there.add(number)) {
                registry.add(machine(number))
            } else {
                there.remove(number)
                registry.remove(listOf(machine(number).name))
            }
            if (step % 5 == 0) write(ok = step % 2 == 0)
        }
        repeat(30) { write(ok = true) }
        val next = Registry(8192)
        val read = store.values.flatMap(next::load)
        condition(read.toSet() == there.map(::machine).toSet()) { "$read, not $there" }
        condition(changes <= steps.size + 30) { "$changes changes for ${steps.size} steps" }
    }
}
