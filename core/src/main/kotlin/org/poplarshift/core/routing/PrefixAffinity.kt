package org.poplarshift.core.routing

import kotlin.math.ceil

/**
 * Routes prompts with the same prefix to the same worker, because its cache then contains the prefix. It uses
 * rendezvous hashing with bounded loads: it chooses the worker with the highest hash among those loaded to at most
 * [LOAD_FACTOR] times the mean utilisation. When a worker joins or leaves, only its own share of the prefixes moves.
 *
 * @param fallback the policy for requests without a prefix
 */
class PrefixAffinity(private val fallback: RoutingPolicy) : RoutingPolicy() {
    override fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate {
        if (prefix.isEmpty()) return fallback.choose(candidates, prefix, nowMillis)
        val utilisation = candidates.sumOf { it.load + 1.0 / candidates.size } / candidates.sumOf { it.capacity }
        val prefixHash = hash(FNV_OFFSET_BASIS, prefix)
        return candidates
            .filter { it.load < ceil(LOAD_FACTOR * utilisation * it.capacity) }
            .maxByOrNull { mix(prefixHash xor hash(FNV_OFFSET_BASIS, it.worker)) }
            ?: candidates.minBy { it.load.toDouble() / it.capacity }
    }

    // FNV-1a. Unlike a seeded hash, it returns the same value in every process.
    private fun hash(start: Long, text: String): Long = text.fold(start) { hash, character ->
        (hash xor character.code.toLong()) * FNV_PRIME
    }

    // The finalizer of MurmurHash3. With FNV-1a alone, the high bits of short names are nearly equal.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
        mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
        return mixed xor (mixed ushr 33)
    }

    private companion object {
        const val LOAD_FACTOR = 1.25
        const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
    }
}
