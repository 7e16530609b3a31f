package pumicekeel.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the classification of failed calls, by the errors in the manual pages. */
class FailureScopeTest {

  @ParameterizedTest
  @CsvSource({
    "Interrupted system call,TEMPORARY",
    "Resource temporarily unavailable,TEMPORARY",
    "Cannot allocate memory,TEMPORARY",
    "No buffer space available,TEMPORARY",
    "Too many open files in system,TEMPORARY",
    "Operation not permitted,TEMPORARY",
    "Too many open files,PROCESS",
    "Software caused connection abort,CONNECTION",
    "Protocol error,CONNECTION",
    "Network is down,CONNECTION",
    "Protocol not available,CONNECTION",
    "Host is down,CONNECTION",
    "Machine is not on the network,CONNECTION",
    "No route to host,CONNECTION",
    "Operation not supported,CONNECTION",
    "Network is unreachable,CONNECTION",
    "Connection reset by peer,CONNECTION",
    "Broken pipe,CONNECTION",
    "something that no page names,CONNECTION"
  })
  void socketErrorIsClassifiedByItsText(String text, FailureScope scope) {
    assertEquals(scope, FailureScope.of(new IOException(text)));
    assertEquals(scope, FailureScope.of(new SocketException(text)));
  }

  @Test
  void causeAndPrefixedTextAreClassified() {
    assertEquals(
        FailureScope.PROCESS,
        FailureScope.of(new ChannelException(
            "Failed to open a socket.", new SocketException("Too many open files"))));
    assertEquals(
        FailureScope.TEMPORARY,
        FailureScope.of(
            new FileSystemException("/x/config.json", null, "Too many open files in system")));
  }

  @Test
  void missingFileAndUsedAddressArePermanent() {
    assertEquals(FailureScope.PERMANENT, FailureScope.of(new NoSuchFileException("/x")));
    assertEquals(
        FailureScope.PERMANENT, FailureScope.of(new BindException("Address already in use")));
    assertNull(FailureScope.known(new IllegalArgumentException("a setting is no good")));
    assertEquals(FailureScope.PERMANENT, FailureScope.of(new IllegalArgumentException("x")));
  }
}
