package pumicekeel.jsonrpc;

import io.netty.buffer.ByteBuf;

/**
 * Incrementally finds the end of a JSON object or array. Fails at the first byte that violates the nesting or a limit, without
 * waiting for the end of the value.
 */
final class ValueScanner {

  private final Limits limits;
  private int depth;
  /** One bit per open bracket, the innermost lowest: 1 for an object. */
  private long kinds;

  private boolean batch;
  private int commas;
  private boolean inString;
  private boolean escaped;
  private int code;
  private boolean failed;
  private String fault;

  ValueScanner(Limits limits) {
    this.limits = limits;
  }

  void reset() {
    depth = 0;
    kinds = 0;
    commas = 0;
    inString = false;
    escaped = false;
    failed = false;
    fault = null;
  }

  boolean failed() {
    return failed;
  }

  /** Returns the details of the failure; null if there are none besides the code. */
  String fault() {
    return fault;
  }

  int code() {
    return code;
  }

  /** Continues scanning; returns the index after the value's last byte, or -1 if it is incomplete or failed. */
  int scan(ByteBuf in, int from, int to) {
    for (int i = from; i < to; i++) {
      if (step(in.getByte(i))) {
        return i + 1;
      }
      if (failed) {
        return -1;
      }
    }
    return -1;
  }

  private boolean step(byte b) {
    if (inString) {
      if (b >= 0 && b < 0x20) {
        fail(ErrorCodes.PARSE, "a control character in a string");
      } else if (escaped) {
        escaped = false;
      } else if (b == '\\') {
        escaped = true;
      } else if (b == '"') {
        inString = false;
      }
      return false;
    }
    switch (b) {
      case '"' -> inString = true;
      case '{', '[' -> open(b == '{');
      case '}', ']' -> {
        return close(b == '}');
      }
      case ',' -> {
        if (depth == 1 && batch && ++commas >= limits.calls()) {
          fail(ErrorCodes.INVALID_REQUEST, "more than " + limits.calls() + " calls in a batch");
        }
      }
      default -> {}
    }
    return false;
  }

  private void open(boolean object) {
    if (depth == limits.depth()) {
      fail(
          ErrorCodes.INVALID_REQUEST,
          "more than " + limits.depth() + " arrays and objects in one another");
      return;
    }
    if (depth == 0) {
      batch = !object;
    }
    depth++;
    kinds = kinds << 1 | (object ? 1 : 0);
  }

  private boolean close(boolean object) {
    if (depth == 0 || (kinds & 1) == 1 != object) {
      fail(ErrorCodes.PARSE, null);
      return false;
    }
    kinds >>>= 1;
    return --depth == 0;
  }

  private void fail(int errorCode, String why) {
    failed = true;
    code = errorCode;
    fault = why;
  }
}
