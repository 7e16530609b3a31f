package pumicekeel.jsonrpc;

/** The output of a frame decoder. */
public sealed interface Frame permits Frame.Complete, Frame.Fault {

  /** The bytes of one message. */
  record Complete(byte[] bytes) implements Frame {}

  /** An error after which the start of the next message is unknown. */
  record Fault(int code, String why) implements Frame {}
}
