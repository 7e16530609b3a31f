package pumicekeel.rig.scale;

import java.util.Arrays;
import java.util.Locale;

/** A part of the system with its own resource budget. */
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

  /** Returns the name used in headings. */
  public String title() {
    return title;
  }

  /** Returns the name used in result files. */
  public String key() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the role with the given key, or null if there is none. */
  public static Role of(String key) {
    return Arrays.stream(values())
        .filter(role -> role.key().equals(key))
        .findFirst()
        .orElse(null);
  }
}
