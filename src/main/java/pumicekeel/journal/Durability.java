package pumicekeel.journal;

/** Which failures a written record survives. */
public enum Durability {
  /** The end of the process, by any signal: the bytes have been passed to the operating system. */
  PROCESS,
  /** A crash of the host: the bytes are synced before the request is sent. */
  HOST
}
