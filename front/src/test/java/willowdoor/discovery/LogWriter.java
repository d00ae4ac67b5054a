package willowdoor.discovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import willowdoor.discovery.Entry.State;
import willowdoor.discovery.ListJson.Message;

/**
 * A process of its own for tests: changes the list, tells each version that holds, and ends at a
 * step.
 */
final class LogWriter {

  private static final long SMALL = 2_000;

  private LogWriter() {}

  /** What a list says, to compare lists by. */
  static String told(HostList list) {
    byte[] text = ListJson.write(new Message(0, true, list.present()), true);
    return list.version() + " " + Arrays.hashCode(text);
  }

  /**
   * Folder, step, and how often that is passed before the process ends there, without a further
   * act.
   */
  public static void main(String[] args) throws IOException {
    int[] left = {Integer.parseInt(args[2])};
    ChangeLog log =
        new ChangeLog(Path.of(args[0]), SMALL) {
          @Override
          void step(String name) {
            if (name.equals(args[1]) && left[0]-- == 0) {
              Runtime.getRuntime().halt(9);
            }
          }
        };
    System.out.println(told(log.list()));
    while (true) {
      long n = log.list().version();
      State state = n % 7 == 3 ? State.LEFT : n % 3 == 1 ? State.LEAVING : State.ACTIVE;
      HostList list =
          log.append(
              List.of(HostListTest.entry("s-" + n * 7 % 20, state, ProcessHandle.current().pid())));
      System.out.println(told(list));
    }
  }
}
