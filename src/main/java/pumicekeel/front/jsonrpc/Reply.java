package pumicekeel.front.jsonrpc;

import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.MessageWriter;

/** A response object, made when it goes out. */
interface Reply {

  byte[] at(long now);

  static byte[] result(Id id, byte[] result) {
    return MessageWriter.result(id, result);
  }

  /** An error object of a server's, as it came. */
  static byte[] error(Id id, byte[] error) {
    return MessageWriter.error(id, error);
  }

  /** An error of the balancer's own, with raw JSON as its data, or null for none. */
  static byte[] error(Id id, int code, String message, String data) {
    return MessageWriter.error(id, MessageWriter.errorObject(code, message, data));
  }

  /** An error whose usual message says enough, or for which {@code reason} says more. */
  static byte[] errorWithReason(Id id, int code, String reason) {
    return error(
        id,
        code,
        ErrorCodes.messageOf(code),
        reason == null ? null : "{\"reason\":" + MessageWriter.quoted(reason) + "}");
  }

  /** An error with an advice when to come back; 0 for none. */
  static byte[] errorWithRetryAfter(Id id, int code, long retryAfterNanos) {
    return error(
        id,
        code,
        ErrorCodes.messageOf(code),
        retryAfterNanos <= 0
            ? null
            : "{\"retryAfterMs\":" + (retryAfterNanos + 999_999) / 1_000_000 + "}");
  }
}
