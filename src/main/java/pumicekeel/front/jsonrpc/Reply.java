package pumicekeel.front.jsonrpc;

import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.MessageWriter;

/** A response object, built when it is sent. */
interface Reply {

  /** Returns the JSON of the response, as it is to be sent now. */
  byte[] at(long now);

  /** Builds a response with a result, which is raw JSON. */
  static byte[] result(Id id, byte[] result) {
    return MessageWriter.result(id, result);
  }

  /** Builds a response with an error object of a server, unchanged. */
  static byte[] error(Id id, byte[] error) {
    return MessageWriter.error(id, error);
  }

  /** Builds an error of the balancer; {@code data} is raw JSON, or null for none. */
  static byte[] error(Id id, int code, String message, String data) {
    return MessageWriter.error(id, MessageWriter.errorObject(code, message, data));
  }

  /** Builds an error with the standard message of its code and an optional {@code reason}. */
  static byte[] errorWithReason(Id id, int code, String reason) {
    return error(
        id,
        code,
        ErrorCodes.messageOf(code),
        reason == null ? null : "{\"reason\":" + MessageWriter.quoted(reason) + "}");
  }

  /** Builds an error that advises when to retry; 0 for no advice. */
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
