package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;

/** Tests that the example in the README does what the README says. */
class EmbeddingExampleTest {

  @Test
  void firstRequestIsSentAndATimerIsSet() {
    List<Action> actions = EmbeddingExample.firstRequest();
    Send send = assertInstanceOf(Send.class, actions.get(0));
    assertEquals("r1", send.id());
    assertInstanceOf(SetTimer.class, actions.get(1));
    assertEquals(2, actions.size());
  }
}
