package pumicekeel.runtime;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.Map;

/**
 * Classifies the failure of a system call by what it affects; each class is handled differently, and the first two are
 * retried. The JDK passes the error on only as text, so it is recognized by the text of {@code strerror} in the C
 * locale.
 */
public enum FailureScope {
  /** The call failed temporarily; nothing was done, and its object is intact. To be retried. */
  TEMPORARY,
  /** The process is out of descriptors: others have to be closed before the call can succeed. To be retried. */
  PROCESS,
  /** The connection has ended or was never established; others are not affected. */
  CONNECTION,
  /** The object does not exist or access is denied: a retry is useless. */
  PERMANENT;

  private static final String OUT_OF_DESCRIPTORS = "Too many open files";

  /** Classes by error text, as in the Linux manual pages. */
  private static final Map<String, FailureScope> BY_TEXT = Map.ofEntries(
      Map.entry("Interrupted system call", TEMPORARY),
      Map.entry("Resource temporarily unavailable", TEMPORARY),
      Map.entry("Cannot allocate memory", TEMPORARY),
      Map.entry("No buffer space available", TEMPORARY),
      Map.entry("Too many open files in system", TEMPORARY),
      Map.entry("Operation not permitted", TEMPORARY),
      Map.entry("No space left on device", TEMPORARY),
      Map.entry("Disk quota exceeded", TEMPORARY),
      Map.entry("Input/output error", TEMPORARY),
      Map.entry("Read-only file system", TEMPORARY),
      Map.entry(OUT_OF_DESCRIPTORS, PROCESS),
      Map.entry("Software caused connection abort", CONNECTION),
      Map.entry("Protocol error", CONNECTION),
      Map.entry("Network is down", CONNECTION),
      Map.entry("Protocol not available", CONNECTION),
      Map.entry("Host is down", CONNECTION),
      Map.entry("Machine is not on the network", CONNECTION),
      Map.entry("No route to host", CONNECTION),
      Map.entry("Operation not supported", CONNECTION),
      Map.entry("Network is unreachable", CONNECTION),
      Map.entry("Connection reset by peer", CONNECTION),
      Map.entry("Connection timed out", CONNECTION),
      Map.entry("Connection refused", CONNECTION),
      Map.entry("Invalid argument", CONNECTION),
      Map.entry("Transport endpoint is not connected", CONNECTION),
      Map.entry("Broken pipe", CONNECTION));

  /** Classifies an error; an unknown one is CONNECTION if it is an I/O error and PERMANENT otherwise. */
  public static FailureScope of(Throwable error) {
    FailureScope known = known(error);
    if (known != null) {
      return known;
    }
    return error instanceof IOException ? CONNECTION : PERMANENT;
  }

  /** Classifies an error; null for an unknown one. */
  public static FailureScope known(Throwable error) {
    for (Throwable e = error; e != null; e = e.getCause()) {
      if (e instanceof BindException
          || e instanceof NoSuchFileException
          || e instanceof AccessDeniedException) {
        return PERMANENT;
      }
      FailureScope known = byText(e.getMessage());
      if (known != null) {
        return known;
      }
    }
    return null;
  }

  /** Finds a known error text, alone or behind what the JDK puts before it (a path, the name of the call). */
  private static FailureScope byText(String message) {
    if (message == null) {
      return null;
    }
    FailureScope exact = BY_TEXT.get(message);
    if (exact != null) {
      return exact;
    }
    String longest = "";
    for (String text : BY_TEXT.keySet()) {
      if (message.contains(text) && text.length() > longest.length()) {
        longest = text;
      }
    }
    return BY_TEXT.get(longest);
  }

  /** Returns whether the same call may succeed later. */
  public boolean isRetryable() {
    return this == TEMPORARY || this == PROCESS;
  }
}
