package willowdoor.discovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import willowdoor.discovery.Entry.State;
import willowdoor.discovery.ListJson.Message;

/**
 * A separate process for tests: changes the list, prints each durable version, and terminates at a
 * given step.
 */
final class LogWriter {

  private static final long SMALL = 2_000;

  private LogWriter() {}

  /** Returns a list's version and content hash, to compare lists. */
  static String told(HostList list) {
    byte[] text = ListJson.write(new Message(0, true, list.present()), true);
    return list.version() + " " + Arrays.hashCode(text);
  }

  /**
   * Arguments: the folder, the step, and how often that step is passed before the process halts
   * there without further action.
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
