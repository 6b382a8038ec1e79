package org.poplarshift.core.stream

/** A map of values that are read from a log. While the log is read anew, the values of the earlier pass stay in force. */
internal class RereadableMap<K, V> {
    private class Entry<V>(val value: V, val pass: Int)

    private val entries = HashMap<K, Entry<V>>()
    private var pass = 0

    val keys: Set<K>
        get() = entries.keys

    operator fun get(key: K): V? = entries[key]?.value

    operator fun set(key: K, value: V) {
        entries[key] = Entry(value, pass)
    }

    fun remove(key: K) {
        entries.remove(key)
    }

    /** Begins a new pass. */
    fun restart() {
        pass++
    }

    /** Removes the values that the current pass, which is complete, has not brought again. */
    fun complete() {
        entries.values.removeIf { it.pass != pass }
    }
}
