package willowdoor.lab.run;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.Recorder;
import willowdoor.lab.relay.Pair;

/** Records each fault once it is over: what it was done to, from when to when. */
final class FaultLog {

  private final Recorder records;
  private final List<Open> open = new ArrayList<>();

  /** One that goes on: on ways of the network, or on processes. */
  private record Open(
      long begin, Step step, List<String> targets, Set<Pair> ways, Set<String> stopped) {}

  FaultLog(Recorder records) {
    this.records = records;
  }

  /** Something that is over as soon as it is done, or at a time that is known. */
  synchronized void done(long begin, long end, Step step, List<String> targets) {
    records.write(new Entry.Fault(begin, end, step.action().word(), targets, step.args()));
  }

  synchronized void ways(long begin, Step step, List<String> targets, Collection<Pair> ways) {
    open.add(new Open(begin, step, targets, new HashSet<>(ways), new HashSet<>()));
  }

  synchronized void stopped(long begin, Step step, List<String> doors) {
    open.add(new Open(begin, step, doors, new HashSet<>(), new HashSet<>(doors)));
  }

  synchronized void healed(Collection<Pair> ways) {
    open.forEach(o -> o.ways().removeAll(ways));
    close(false);
  }

  synchronized void goOn(String door) {
    open.forEach(o -> o.stopped().remove(door));
    close(false);
  }

  /** The run is over. */
  synchronized void close() {
    close(true);
  }

  private void close(boolean all) {
    long now = records.clock().nowUs();
    for (Iterator<Open> i = open.iterator(); i.hasNext(); ) {
      Open o = i.next();
      if (all || o.ways().isEmpty() && o.stopped().isEmpty()) {
        i.remove();
        records.write(
            new Entry.Fault(
                o.begin(), now, o.step().action().word(), o.targets(), o.step().args()));
      }
    }
  }
}
