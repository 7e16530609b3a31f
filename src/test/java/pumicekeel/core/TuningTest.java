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

/** Which settings count, and how long those before them still do. */
class TuningTest {

  private static Settings settings(String name) throws Exception {
    return Decoder.settings(
        Fields.parse("s", "{\"categories\":[{\"name\":\"" + name + "\",\"aim-ns\":1}]}"));
  }

  @Test
  void formerSettingsCountForAMomentOnly() throws Exception {
    Settings one = settings("one");
    Settings two = settings("two");
    Tuning tuning = new Tuning(one);
    assertNull(tuning.former(0));
    assertFalse(tuning.change(settings("one"), 5), "the same again changes nothing");
    assertNull(tuning.former(5));
    assertTrue(tuning.change(two, 10));
    assertSame(two, tuning.current());
    assertSame(one, tuning.former(10 + Tuning.OVERLAP_NANOS - 1));
    assertNull(tuning.former(10 + Tuning.OVERLAP_NANOS));
    assertNull(tuning.former(11), "once over, it is over");
    assertEquals(
        List.of("two"), tuning.current().classes().stream().map(c -> c.name()).toList());
  }
}
