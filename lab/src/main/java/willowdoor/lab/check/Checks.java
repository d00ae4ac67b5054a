package willowdoor.lab.check;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import willowdoor.lab.record.RecordFile;

/** All checkers; a further one is added here. */
public final class Checks {

  private Checks() {}

  public static List<Checker> all() {
    return List.of(
        new AnsweredInTime(),
        new ServedByServer(),
        new RunOnce(),
        new Quota(),
        new Lives(),
        new Drains(),
        new Served());
  }

  /** What a run's records show, in the order of time. */
  public static List<Finding> judge(Path directory) throws IOException {
    List<Checker> checkers = all();
    RecordFile.read(directory, entry -> checkers.forEach(c -> c.see(entry)));
    List<Finding> findings = new ArrayList<>();
    checkers.forEach(c -> findings.addAll(c.findings()));
    findings.sort(Comparator.comparingLong(Finding::atUs));
    return findings;
  }
}
