package pumicekeel.demo;

import java.io.IOException;
import pumicekeel.Balancer.Settings;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** Settings of the demos and the rig: a safe class, a class that is keyed within a cell, and one tenant, "demo". */
public final class DemoSettings {

  /** The settings in the platform's JSON format. */
  public static final String JSON = """
      {"categories":[
        {"name":"rate-lookup","effect":"idempotent","aim-ns":200000000,"deadline-ns":1500000000},
        {"name":"quote-issue","effect":"deduplicated","dedup-scope":"cell","window-ns":2000000000,
         "aim-ns":400000000,"deadline-ns":2000000000}],
       "projects":[{"name":"demo","portion":1.0,"quota-per-s":100000.0}],"registry-mode":"on_request",
       "limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":1000000000,"max-attempts":4,
        "second-copies":true,"connect-timeout-ns":200000000,"conn-idle-ns":5000000000},
       "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000,"cold-from":0.3,
        "warm-within-ns":8000000000,"overload-for-ns":3000000000,"fall-multiple":3.0}}
      """;

  private DemoSettings() {}

  static Settings settings() throws IOException {
    return Decoder.settings(Fields.parse("settings", JSON));
  }
}
