package willowdoor.lab.check;

import java.util.List;
import willowdoor.lab.record.Entry;

/**
 * A share of the requests was served at least: a run in which nothing was served would tell nothing
 * of the others' rules.
 */
public final class Served implements Checker {

  private double least = 0.1;
  private int requests;
  private int served;
  private long last;

  @Override
  public void see(Entry entry) {
    if (entry instanceof Entry.Run run) {
      least = run.bounds().getOrDefault("least_served", least);
    } else if (entry instanceof Entry.Asked asked) {
      requests++;
      served += asked.status() == 200 ? 1 : 0;
      last = asked.end();
    }
  }

  @Override
  public List<Finding> findings() {
    return served >= least * requests
        ? List.of()
        : List.of(
            new Finding(
                name(),
                last,
                served
                    + " of "
                    + requests
                    + " requests were served, where "
                    + least
                    + " of them are due"));
  }
}
