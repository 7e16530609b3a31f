package pumicekeel.jsonrpc;

import java.util.List;

/** What one frame held. */
public sealed interface Message permits Message.Single, Message.Batch, Message.Malformed {

  /** A single entry. */
  record Single(Entry entry) implements Message {}

  /** A batch; never empty. */
  record Batch(List<Entry> entries) implements Message {}

  /** No message: the whole of it is answered with one error of this code and a null id; {@code why} says more, or is null. */
  record Malformed(int code, String why) implements Message {}

  /** An entry of a message. */
  sealed interface Entry permits Call, Reply, Invalid {}

  /** A request object; {@code id} is null for a notification, {@code params} (raw JSON) where there are none. */
  record Call(Id id, String method, byte[] params) implements Entry {}

  /** A response object: either a result or an error, both raw JSON. {@code code} is the error's. */
  record Reply(Id id, byte[] result, byte[] error, int code) implements Entry {}

  /** Neither; {@code id} is the null id where none could be told. */
  record Invalid(Id id, String why) implements Entry {}
}
