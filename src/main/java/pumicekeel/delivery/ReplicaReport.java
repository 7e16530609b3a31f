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

  private static final int MOST_NAME = 128;
  private static final int MOST_TROUBLE = 400;

  public ReplicaReport {
    name = oneLine(name, MOST_NAME);
    trouble = oneLine(trouble, MOST_TROUBLE);
  }

  private static String oneLine(String text, int most) {
    String line = text.replaceAll("\\p{Cntrl}", " ");
    return line.length() > most ? line.substring(0, most) : line;
  }
}
