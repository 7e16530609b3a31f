package pumicekeel.jsonrpc;

/** What a decoder hands on. */
public sealed interface Frame permits Frame.Complete, Frame.Fault {

  /** The bytes of one message. */
  record Complete(byte[] bytes) implements Frame {}

  /** Something after which the next message can't be told from the rest of this one. */
  record Fault(int code, String why) implements Frame {}
}
