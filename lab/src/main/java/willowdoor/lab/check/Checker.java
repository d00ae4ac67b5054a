package willowdoor.lab.check;

import java.util.List;
import willowdoor.lab.record.Entry;

/**
 * Judges a run by its records alone. It sees each of them once, in the order of the file, which is
 * that in which they ended; what it found is asked for after the last one.
 */
public interface Checker {

  void see(Entry entry);

  List<Finding> findings();

  /** As it is named in findings. */
  default String name() {
    return getClass().getSimpleName();
  }
}
