package willowdoor.lab.check;

import java.util.ArrayList;
import java.util.List;
import willowdoor.lab.record.Entry;

/**
 * A front door's process ends only when it was told to, in order where it was asked by SIGTERM, and
 * gets ready where it is left the time.
 */
public final class Lives implements Checker {

  private static final long READY_US = 30_000_000;

  private final List<Finding> findings = new ArrayList<>();

  @Override
  public void see(Entry entry) {
    if (!(entry instanceof Entry.Life life)) {
      return;
    }
    String process = life.door() + "'s process " + life.pid();
    if (life.how().equals("itself")) {
      findings.add(
          new Finding(name(), life.end(), process + " ended by itself with " + life.exit()));
    } else if (life.how().equals("TERM, KILL")) {
      findings.add(
          new Finding(
              name(), life.end(), process + " had to be killed, as SIGTERM did not end it"));
    } else if (life.ready() == 0 && life.end() - life.begin() > READY_US) {
      findings.add(
          new Finding(
              name(),
              life.end(),
              process + " was not ready in " + (life.end() - life.begin()) / 1_000_000 + " s"));
    }
  }

  @Override
  public List<Finding> findings() {
    return findings;
  }
}
