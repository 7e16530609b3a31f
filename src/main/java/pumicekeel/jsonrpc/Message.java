package pumicekeel.jsonrpc;

import java.util.List;

/** The content of one frame. */
public sealed interface Message permits Message.Single, Message.Batch, Message.Malformed {

  /** A single entry. */
  record Single(Entry entry) implements Message {}

  /** A batch; never empty. */
  record Batch(List<Entry> entries) implements Message {}

  /** Not a message: answered with a single error of this code and a null id; {@code why} has details, or is null. */
  record Malformed(int code, String why) implements Message {}

  /** An entry of a message. */
  sealed interface Entry permits Call, Reply, Invalid {}

  /** A request object; {@code id} is null for a notification; {@code params} is raw JSON, null if absent. */
  record Call(Id id, String method, byte[] params) implements Entry {}

  /** A response object with either a result or an error, both raw JSON; {@code code} is the error's code. */
  record Reply(Id id, byte[] result, byte[] error, int code) implements Entry {}

  /** Neither of them; {@code id} is the null id if it could not be determined. */
  record Invalid(Id id, String why) implements Entry {}
}
