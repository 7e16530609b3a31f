package pumicekeel.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Rules for which version may follow which. */
class VersionAcceptanceTest {

  private static final ConfigurationVersion KEPT = ConfigurationVersion.of(3, 7, "kept");

  private static VersionAcceptance of(long epoch, long sequence, String text) {
    return VersionAcceptance.of(KEPT, ConfigurationVersion.of(epoch, sequence, text));
  }

  @Test
  void onlyTheNextVersionIsAcceptedAndTheSameOneIsASuccess() {
    assertEquals(VersionAcceptance.ACCEPTED, of(3, 8, "next"));
    assertEquals(VersionAcceptance.ALREADY_KEPT, of(3, 7, "kept"));
    assertEquals(VersionAcceptance.CONFLICT, of(3, 7, "other"));
    assertEquals(VersionAcceptance.OLDER_SEQUENCE, of(3, 6, "earlier"));
    assertEquals(VersionAcceptance.GAP, of(3, 9, "later"));
  }

  @Test
  void writerOfAnOlderEpochIsRefusedAndThatOfANewerOneStartsAtOne() {
    assertEquals(VersionAcceptance.OLDER_EPOCH, of(2, 8, "next"));
    assertEquals(VersionAcceptance.ACCEPTED, of(4, 1, "next"));
    assertEquals(VersionAcceptance.GAP, of(4, 2, "next"));
    assertEquals(VersionAcceptance.OLDER_SEQUENCE, of(4, 0, "next"));
    assertEquals(
        VersionAcceptance.ACCEPTED,
        VersionAcceptance.of(ConfigurationVersion.NONE, ConfigurationVersion.of(1, 1, "first")));
  }

  @Test
  void versionIsReadAsItIsWritten() {
    assertEquals(KEPT, ConfigurationVersion.parse(KEPT.text()));
  }
}
