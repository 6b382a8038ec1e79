package org.poplarshift.core.batch

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.util.Base64
import java.util.BitSet

/**
 * A set of item indexes. It uses one bit per item, so that an index of tens of millions of live items fits into the
 * memory of a node. It is serialized as the base64 encoding of the bits.
 */
@Serializable(with = ItemSet.Serializer::class)
class ItemSet private constructor(private val bits: BitSet) {
    constructor() : this(BitSet())

    /** The number of items in the set. */
    val size: Int
        get() = bits.cardinality()

    operator fun contains(item: Int): Boolean = bits[item]

    /** Adds [item]. Returns whether the set changed. */
    fun add(item: Int): Boolean {
        if (bits[item]) return false
        bits.set(item)
        return true
    }

    /** Adds all items below [end]. */
    fun addAllBelow(end: Int) = bits.set(0, end)

    fun remove(item: Int) = bits.clear(item)

    /** Removes all items of [other]. */
    fun removeAll(other: ItemSet) = bits.andNot(other.bits)

    /** Returns the smallest item in the set that is at least [from], or -1. */
    fun next(from: Int = 0): Int = bits.nextSetBit(from)

    /** Returns the smallest item not in the set that is at least [from]. */
    fun nextMissing(from: Int = 0): Int = bits.nextClearBit(from)

    /** Returns an independent copy. */
    fun copy(): ItemSet = ItemSet(bits.clone() as BitSet)

    override fun equals(other: Any?): Boolean = other is ItemSet && bits == other.bits

    override fun hashCode(): Int = bits.hashCode()

    override fun toString(): String = bits.toString()

    /** Serializes the bits as base64. */
    object Serializer : KSerializer<ItemSet> {
        override val descriptor = PrimitiveSerialDescriptor("ItemSet", PrimitiveKind.STRING)

        override fun serialize(encoder: Encoder, value: ItemSet) =
            encoder.encodeString(Base64.getEncoder().encodeToString(value.bits.toByteArray()))

        override fun deserialize(decoder: Decoder): ItemSet =
            ItemSet(BitSet.valueOf(Base64.getDecoder().decode(decoder.decodeString())))
    }
}
