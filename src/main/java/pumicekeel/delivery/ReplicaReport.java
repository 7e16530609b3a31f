package pumicekeel.delivery;

/**
 * What a subscriber tells of itself with each call.
 *
 * @param name unique among the subscribers
 * @param inForce the version in force; NONE where none was delivered
 * @param refused the newest version that it could not take; NONE for none
 * @param trouble what went wrong last, a line; empty for nothing
 */
public record ReplicaReport(
    String name, ConfigurationVersion inForce, ConfigurationVersion refused, String trouble) {

  private static final int MAX_NAME_CHARS = 128;
  private static final int MAX_TROUBLE_CHARS = 400;

  public ReplicaReport {
    name = oneLine(name, MAX_NAME_CHARS);
    trouble = oneLine(trouble, MAX_TROUBLE_CHARS);
  }

  private static String oneLine(String text, int maxChars) {
    String line = text.replaceAll("\\p{Cntrl}", " ");
    return line.length() > maxChars ? line.substring(0, maxChars) : line;
  }
}
