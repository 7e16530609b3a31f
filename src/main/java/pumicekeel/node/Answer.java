package pumicekeel.node;

/** The body of an upstream's answer, and its type or null. */
record Answer(byte[] body, String contentType) {}
