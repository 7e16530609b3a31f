package pumicekeel.runtime;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.Map;

/**
 * What a failed system call says, and of what: each of these asks for another answer, and a way back from the first two. The JDK
 * hands the error on as text only, so it is told by the text of {@code strerror} in the C locale.
 */
public enum FailureScope {
  /** The call can't be carried out at this moment; nothing was done, and nothing is wrong with what it was for. To be tried again. */
  TEMPORARY,
  /** The process has no descriptor left: others of its own have to be closed before the call can work. To be tried again. */
  PROCESS,
  /** The connection is at its end, or never came to be; others are not concerned. */
  CONNECTION,
  /** What was asked for is not there or not allowed: trying again is of no use. */
  PERMANENT;

  private static final String OUT_OF_DESCRIPTORS = "Too many open files";

  /** By the error's text, as the Linux manual pages name the errors. */
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

  /** What this error says; where it is none of those that are known, CONNECTION for an error of I/O and PERMANENT for others. */
  public static FailureScope of(Throwable error) {
    FailureScope known = known(error);
    if (known != null) {
      return known;
    }
    return error instanceof IOException ? CONNECTION : PERMANENT;
  }

  /** The same; null where it is none of those that are known. */
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

  /** The text stands alone, or behind what the JDK puts before it (a path, the name of the call). */
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

  /** Whether the same call may work a moment later. */
  public boolean isRetryable() {
    return this == TEMPORARY || this == PROCESS;
  }
}
