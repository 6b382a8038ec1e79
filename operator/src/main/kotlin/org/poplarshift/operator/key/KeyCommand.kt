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

/** Creates, withdraws and lists API keys. */
@Command(name = "key", description = ["Creates, withdraws and lists API keys."])
class KeyCommand {
    @Spec
    private lateinit var spec: CommandSpec

    private val out get() = spec.commandLine().out

    @Command(description = ["Creates a key for an organisation. It is printed once; only its hash is stored."])
    fun give(
        @Mixin platform: PlatformOption,
        @Option(names = ["--key-id"], description = ["The id of the key. Default: a random id."]) keyId: String?,
        @Parameters(paramLabel = "ORGANISATION") organisation: String,
    ): Int {
        val id = keyId ?: "$organisation-${UUID.randomUUID().toString().take(RANDOM_ID_LENGTH)}"
        val key = generateKey()
        val record = ConfigurationRecord.KeyIssued(
            keyId = id,
            organisation = organisation,
            sha256 = KeyDirectory.hash(key),
        )
        val result = platform.withConfiguration { it.append(record) }
        if (result !is ConfigurationResult.Applied) {
            throw OperatorException(
                "key $id was not created: organisation $organisation is not in the catalogue or $id is already in use",
            )
        }
        // Only the key goes to standard output, so that a script can redirect it to a file.
        spec.commandLine().err.println("key id $id, version ${result.configuration.version}")
        out.println(key)
        return ExitCode.DONE
    }

    @Command(description = ["Withdraws a key permanently and closes its open streams."])
    fun withdraw(@Mixin platform: PlatformOption, @Parameters(paramLabel = "KEY-ID") keyId: String): Int {
        val result = platform.withConfiguration { log ->
            if (log.read().keys.none { it.keyId == keyId }) throw OperatorException("there is no active key $keyId")
            log.append(ConfigurationRecord.KeyWithdrawn(keyId))
        }
        if (result !is ConfigurationResult.Applied) throw OperatorException("key $keyId was not withdrawn: $result")
        out.println("withdrawn, version ${result.configuration.version}")
        return ExitCode.DONE
    }

    @Command(description = ["Lists the valid keys with their ids, organisations and hash prefixes."])
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
