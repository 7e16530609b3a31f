package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.runtime.Addresses;

/** The table {@code [control]} of an operator file. */
class ControlSettingsTest {

  private static final String POOL = "default-pool = \"a\"\n[pools.a]\n";

  private static String fault(String control) {
    List<Fault> faults = OperatorReader.read(POOL + control).faults();
    assertTrue(!faults.isEmpty(), control);
    return faults.get(0).in("f");
  }

  @Test
  void tableIsReadAndIsOptional() {
    ControlSettings read = OperatorReader.read(
            POOL + "[control]\naddresses = [\"127.0.0.1:7001\"]\ndirectory = \"d\"\n")
        .operator()
        .control();
    assertEquals(List.of(Addresses.parse("a", "127.0.0.1:7001")), read.addresses());
    assertEquals(Path.of("d"), read.directory());
    assertNull(OperatorReader.read(POOL).operator().control());
  }

  @Test
  void eachFaultStatesTheExpectedValue() {
    assertTrue(fault("[control]\naddresses = [\"127.0.0.1:7001\"]\n").contains("directory"));
    assertTrue(fault("[control]\ndirectory = \"d\"\n").contains("1 to 16"));
    assertTrue(
        fault("[control]\naddresses = [\"host:1\"]\ndirectory = \"d\"\n").contains("host:1"));
    assertTrue(fault("[control]\naddresses = [\"1.2.3.4:1\", \"1.2.3.4:1\"]\ndirectory = \"d\"\n")
        .contains("each once"));
    assertTrue(fault("[control]\naddress = \"1.2.3.4:1\"\n").contains("control"));
  }
}
