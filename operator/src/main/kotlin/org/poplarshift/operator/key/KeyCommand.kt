package org.poplarshift.operator.key

import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationResult
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.operator.PlatformOption
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID

/** Gives, withdraws and lists keys. */
@Command(name = "key", description = ["Gives, withdraws and lists keys."])
class KeyCommand {
    @Spec
    private lateinit var spec: CommandSpec

    private val out get() = spec.commandLine().out

    @Command(description = ["Gives an organisation a new key. It is printed once; only its hash is stored."])
    fun give(
        @Mixin platform: PlatformOption,
        @Option(names = ["--key-id"], description = ["A name for the key. Default: a random one."]) keyId: String?,
        @Parameters(paramLabel = "ORGANISATION") organisation: String,
    ): Int {
        val id = keyId ?: "$organisation-${UUID.randomUUID().toString().take(RANDOM_ID_LENGTH)}"
        val key = generateKey()
        val record = ConfigurationRecord.KeyGiven(
            keyId = id,
            organisation = organisation,
            sha256 = KeyDirectory.hash(key),
        )
        val result = platform.withConfiguration { it.append(record) }
        if (result !is ConfigurationResult.Applied) {
            throw OperatorException(
                "key $id was not given: $organisation is no organisation of the catalogue or $id is taken",
            )
        }
        // The key alone goes to standard output, so that a script can put it into a file.
        spec.commandLine().err.println("key id $id, version ${result.configuration.version}")
        out.println(key)
        return ExitCode.DONE
    }

    @Command(description = ["Withdraws a key for good and ends its open streams."])
    fun withdraw(@Mixin platform: PlatformOption, @Parameters(paramLabel = "KEY-ID") keyId: String): Int {
        val result = platform.withConfiguration { log ->
            if (log.read().keys.none { it.keyId == keyId }) throw OperatorException("key $keyId is not in force")
            log.append(ConfigurationRecord.KeyWithdrawn(keyId))
        }
        if (result !is ConfigurationResult.Applied) throw OperatorException("key $keyId was not withdrawn: $result")
        out.println("withdrawn, version ${result.configuration.version}")
        return ExitCode.DONE
    }

    @Command(description = ["Lists the keys in force, without the keys themselves."])
    fun list(@Mixin platform: PlatformOption): Int {
        platform.withConfiguration { it.read() }.keys.sortedBy { it.keyId }.forEach { entry ->
            out.println("${entry.keyId}\t${entry.organisation}\tsha256:${entry.sha256.take(HASH_PREFIX_LENGTH)}")
        }
        return ExitCode.DONE
    }

    private fun generateKey(): String {
        val bytes = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
        return "psk_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private companion object {
        const val KEY_BYTES = 32
        const val RANDOM_ID_LENGTH = 8
        const val HASH_PREFIX_LENGTH = 12
    }
}
