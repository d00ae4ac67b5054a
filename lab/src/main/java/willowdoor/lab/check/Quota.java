package willowdoor.lab.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.lab.record.Entry;

/**
 * What all front doors together send on for a customer keeps to its plan: a store that begins with
 * the burst, fills at the rate and holds no more. Units beyond it may be a share of what was sent
 * at most, beside a tenth of a burst for each customer; where the plan has a ceiling, that store
 * never falls below its slack. A try takes its units when its first attempt has arrived.
 */
public final class Quota implements Checker {

  private static final double FREE_BURST = 0.1;

  private record Plan(
      double rate, double burst, double ceilingRate, double ceilingBurst, double slack) {}

  private record Taken(long atUs, double units) {}

  private final Map<String, Plan> plans = new HashMap<>();
  private final Map<String, Entry.Asked> asked = new HashMap<>();
  private final Map<String, Long> arrived = new HashMap<>();
  private double mostBeyond = 0.2;

  @Override
  public void see(Entry entry) {
    if (entry instanceof Entry.Run run) {
      mostBeyond = run.bounds().getOrDefault("quota_beyond", mostBeyond);
      for (JsonNode p : run.settings().path("Tariffs")) {
        plans.put(
            p.path("Name").asText(),
            new Plan(
                p.path("Refill").asDouble(),
                p.path("PeakUnits").asDouble(),
                p.path("CeilingRate").asDouble(),
                p.path("CeilingBurst").asDouble(),
                p.path("HardSlack").asDouble()));
      }
    } else if (entry instanceof Entry.Asked request) {
      asked.put(request.id(), request);
    } else if (entry instanceof Entry.Attempt attempt) {
      arrived.merge(attempt.id(), attempt.begin(), Math::min);
    }
  }

  @Override
  public List<Finding> findings() {
    Map<String, List<Taken>> byCustomer = new HashMap<>();
    Map<String, Plan> planOf = new HashMap<>();
    arrived.forEach(
        (id, at) -> {
          Entry.Asked request = asked.get(id);
          Plan plan = request == null ? null : plans.get(request.plan());
          if (plan != null) {
            String customer = request.customer() + " of " + request.plan();
            planOf.put(customer, plan);
            byCustomer
                .computeIfAbsent(customer, c -> new ArrayList<>())
                .add(new Taken(at, request.units()));
          }
        });
    List<Finding> findings = new ArrayList<>();
    byCustomer.forEach(
        (customer, taken) -> {
          taken.sort(Comparator.comparingLong(Taken::atUs));
          judge(customer, planOf.get(customer), taken, findings);
        });
    return findings;
  }

  private void judge(String customer, Plan plan, List<Taken> taken, List<Finding> findings) {
    double store = plan.burst();
    double ceiling = plan.ceilingBurst();
    double sent = 0;
    double beyond = 0;
    long last = taken.get(0).atUs();
    for (Taken t : taken) {
      double seconds = (t.atUs() - last) / 1e6;
      last = t.atUs();
      store = Math.min(plan.burst(), store + plan.rate() * seconds);
      ceiling = Math.min(plan.ceilingBurst(), ceiling + plan.ceilingRate() * seconds) - t.units();
      double within = Math.min(store, t.units());
      store -= within;
      beyond += t.units() - within;
      sent += t.units();
      if (plan.ceilingRate() > 0 && ceiling < -plan.slack()) {
        findings.add(
            new Finding(
                name(),
                t.atUs(),
                String.format(
                    "customer %s is %.1f units below its ceiling, which may be %.1f",
                    customer, -ceiling, plan.slack())));
        return;
      }
    }
    if (plan.rate() > 0 && beyond > FREE_BURST * plan.burst() + mostBeyond * sent) {
      findings.add(
          new Finding(
              name(),
              last,
              String.format(
                  "customer %s was sent %.1f of %.1f units beyond its quota",
                  customer, beyond, sent)));
    }
  }
}
