package pumicekeel.call;

/** The head of a streamed answer: its content type or null, its length or -1. */
public record AnswerStart(String contentType, long length) {}
