package willowdoor.wire;

import static willowdoor.wire.JsonFields.child;
import static willowdoor.wire.JsonFields.children;
import static willowdoor.wire.JsonFields.flag;
import static willowdoor.wire.JsonFields.number;
import static willowdoor.wire.JsonFields.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.DeduplicationScope;
import willowdoor.policy.GatewayApi.GatewayOptions;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.RetrySafety;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;

/**
 * Reads the settings object by its names on the wire. The bench adapter and the gateway use the
 * same format.
 */
public final class WireSettings {

  private WireSettings() {}

  public static Settings read(Map<String, Object> s) {
    Map<String, Object> bounds = child(s, "Bounds");
    Map<String, Object> extra = child(s, "Extra");
    Map<String, Object> rules = child(s, "Rules");
    List<RequestClass> classes = new ArrayList<>();
    for (Map<String, Object> c : children(s, "Profiles")) {
      classes.add(
          new RequestClass(
              text(c, "Name"),
              number(c, "Value", 1),
              number(c, "LateValue"),
              number(c, "AimMs"),
              number(c, "DeadlineMs"),
              switch (text(c, "Repeat")) {
                case "pure" -> RetrySafety.SAFE;
                case "token" -> RetrySafety.KEYED;
                default -> RetrySafety.UNSAFE;
              },
              switch (text(c, "Group")) {
                case "all" -> DeduplicationScope.ALL;
                case "zone" -> DeduplicationScope.ZONE;
                default -> DeduplicationScope.CELL;
              },
              number(c, "RepeatWindowMs"),
              flag(c, "Stream")));
    }
    List<Plan> plans = new ArrayList<>();
    for (Map<String, Object> p : children(s, "Tariffs")) {
      plans.add(
          new Plan(
              text(p, "Name"),
              number(p, "Refill"),
              number(p, "PeakUnits"),
              (int) number(p, "Open"),
              number(p, "WorthFactor", 1),
              number(p, "BeyondEarns"),
              number(p, "OverrunCost"),
              number(p, "CeilingRate"),
              number(p, "CeilingBurst"),
              number(p, "HardSlack")));
    }
    String weights = text(s, "WeightKind");
    return new Settings(
        (int) number(s, "Balancers", 1),
        (int) number(s, "SelfIndex"),
        text(s, "MyZone"),
        number(extra, "MaxUnits", 1),
        number(child(s, "Prices"), "CrossZone"),
        weights.equals("nominal") || weights.equals("rough"),
        classes,
        plans,
        new GatewayOptions(
            flag(extra, "Counter"),
            number(extra, "CountLimitMs"),
            flag(bounds, "Cancel"),
            flag(bounds, "MayDuplicate"),
            (int) number(bounds, "MaxAttempts", 1),
            (int) number(bounds, "MaxOpen", Integer.MAX_VALUE),
            flag(bounds, "RetryAfter"),
            number(bounds, "MaxRetryAfterMs"),
            text(s, "Discovery").equals("ask")),
        new Rules(
            number(rules, "AnswerSlackMs"),
            number(rules, "ColdFrom", 1),
            number(rules, "ColdMs"),
            number(rules, "TipMultiple", 1),
            number(rules, "TipAfterMs", 1)));
  }
}
