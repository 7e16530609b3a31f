package pumicekeel.front.jsonrpc;

import pumicekeel.jsonrpc.Codes;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Writer;

/** A response object, made when it goes out. */
interface Reply {

  byte[] at(long now);

  static byte[] result(Id id, byte[] result) {
    return Writer.result(id, result);
  }

  /** An error object of a server's, as it came. */
  static byte[] error(Id id, byte[] error) {
    return Writer.error(id, error);
  }

  /** An error of the balancer's own, with raw JSON as its data, or null for none. */
  static byte[] error(Id id, int code, String message, String data) {
    return Writer.error(id, Writer.errorObject(code, message, data));
  }

  /** An error whose usual message says enough, or for which {@code reason} says more. */
  static byte[] plain(Id id, int code, String reason) {
    return error(
        id,
        code,
        Codes.messageOf(code),
        reason == null ? null : "{\"reason\":" + Writer.quoted(reason) + "}");
  }

  /** An error with an advice when to come back; 0 for none. */
  static byte[] refusal(Id id, int code, long retryAfterNanos) {
    return error(
        id,
        code,
        Codes.messageOf(code),
        retryAfterNanos <= 0
            ? null
            : "{\"retryAfterMs\":" + (retryAfterNanos + 999_999) / 1_000_000 + "}");
  }
}
