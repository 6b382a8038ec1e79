package org.poplarshift.standins.store

/** A consumer group: distributes partitions over its members, which keep them until they have learned of a change. */
internal class StoredGroup {
    private val members = LinkedHashMap<String, Long>()
    private val owners = HashMap<GroupPartition, String>()
    private var targets = emptyMap<GroupPartition, String>()

    /** Increases with each change of the distribution. */
    var generation = 0L
        private set

    /** Joins or renews [member] until [expiryMillis] and returns the partitions that it holds. */
    fun join(
        member: String,
        partitions: List<GroupPartition>,
        knownGeneration: Long,
        nowMillis: Long,
        expiryMillis: Long,
    ): List<GroupPartition> {
        val expired = members.filterValues { it < nowMillis }.keys.toSet()
        members.keys.removeAll(expired)
        val isNew = members.put(member, expiryMillis) == null
        if (isNew || expired.isNotEmpty()) distribute(partitions)
        if (knownGeneration >= generation) {
            owners.entries.removeAll { it.value == member && targets[it.key] != member }
        }
        for ((partition, target) in targets) {
            val owner = owners[partition]
            if (target == member && (owner == null || owner !in members)) owners[partition] = member
        }
        return targets.filter { it.value == member && owners[it.key] == member }.keys.toList()
    }

    /** Removes [member]. */
    fun leave(member: String) {
        if (members.remove(member) == null) return
        owners.values.removeAll { it == member }
        distribute(targets.keys.toList())
    }

    /** Distributes all partitions anew, as the platform does at times without being asked. */
    fun redistribute() {
        val rotated = members.entries.drop(1) + members.entries.take(1)
        val previous = rotated.map { it.key to it.value }
        members.clear()
        members.putAll(previous)
        distribute(targets.keys.toList())
    }

    private fun distribute(partitions: List<GroupPartition>) {
        generation++
        val names = members.keys.toList()
        targets = if (names.isEmpty()) {
            partitions.associateWith { "" }
        } else {
            partitions.withIndex().associate { (index, partition) -> partition to names[index % names.size] }
        }
    }
}

/** A partition of a topic that a group distributes. */
internal data class GroupPartition(val topic: String, val number: Int)
