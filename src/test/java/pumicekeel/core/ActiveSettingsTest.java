package pumicekeel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Settings;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** Tests which settings are in force, and how long the previous ones stay valid. */
class ActiveSettingsTest {

  private static Settings settings(String name) throws Exception {
    return Decoder.settings(
        Fields.parse("s", "{\"categories\":[{\"name\":\"" + name + "\",\"aim-ns\":1}]}"));
  }

  @Test
  void previousSettingsApplyDuringTheOverlapOnly() throws Exception {
    Settings one = settings("one");
    Settings two = settings("two");
    ActiveSettings activeSettings = new ActiveSettings(one);
    assertNull(activeSettings.previous(0));
    assertFalse(activeSettings.replace(settings("one"), 5), "the same again changes nothing");
    assertNull(activeSettings.previous(5));
    assertTrue(activeSettings.replace(two, 10));
    assertSame(two, activeSettings.current());
    assertSame(one, activeSettings.previous(10 + ActiveSettings.OVERLAP_NANOS - 1));
    assertNull(activeSettings.previous(10 + ActiveSettings.OVERLAP_NANOS));
    assertNull(activeSettings.previous(11), "once over, it is over");
    assertEquals(
        List.of("two"),
        activeSettings.current().classes().stream().map(c -> c.name()).toList());
  }
}
