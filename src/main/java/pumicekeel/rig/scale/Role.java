package pumicekeel.rig.scale;

import java.util.Arrays;
import java.util.Locale;

/** A part of the system that has a budget of its own. */
public enum Role {
  DATA_PATH("balancer's data path"),
  CONTROL_SIDE("balancer's control side"),
  MEMBER("member"),
  QUOTA_LENDER("quota lender"),
  HOST_DAEMON("daemon of a host"),
  LIST_SOURCE("list source"),
  CONTROL_MACHINE("control machine"),
  OPERATOR_COMMAND("operator's command");

  private final String title;

  Role(String title) {
    this.title = title;
  }

  /** As a heading says it. */
  public String title() {
    return title;
  }

  /** As result files write it. */
  public String key() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The role of a key; null for none. */
  public static Role of(String key) {
    return Arrays.stream(values()).filter(r -> r.key().equals(key)).findFirst().orElse(null);
  }
}
