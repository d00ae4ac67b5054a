package willowdoor.front.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.front.operators.OperatorFile.State;

/** Operators' requests, as shared by the processes of one gateway. */
class OperatorFileTest {

  @TempDir private Path folder;

  @Test
  void processReadsAndExtendsWhatTheOtherWrote() throws Exception {
    Path file = folder.resolve("operators.json");
    OperatorFile one = new OperatorFile(file);
    OperatorFile other = new OperatorFile(file);
    assertEquals(State.NONE, other.refresh());
    one.change(s -> s.excluded("s-1", true));
    assertEquals(new State(false, Set.of("s-1")), other.refresh());
    other.change(s -> s.excluded("s-\"2\"", true));
    one.change(s -> s.drained(true));
    assertEquals(new State(true, Set.of("s-1", "s-\"2\"")), other.refresh());
    other.change(s -> s.excluded("s-1", false).drained(false));
    assertEquals(new State(false, Set.of("s-\"2\"")), one.refresh());
    assertEquals(one.refresh(), new OperatorFile(file).refresh());
  }

  @Test
  void damagedOrMissingFileKeepsTheStateAndIsRewritten() throws Exception {
    Path file = folder.resolve("operators.json");
    OperatorFile one = new OperatorFile(file);
    State stored = one.change(s -> s.excluded("s-1", true));
    for (String damaged :
        new String[] {
          "",
          "{",
          "[]",
          "{\"drained\":true}",
          "\0\0",
          "{\"drained\":true,\"excluded\":[1]}",
          "{\"drained\":1,\"excluded\":[]}"
        }) {
      Files.writeString(file, damaged);
      assertEquals(stored, one.refresh(), damaged);
      assertEquals(State.NONE, new OperatorFile(file).refresh(), damaged);
    }
    Files.delete(file);
    assertEquals(stored, one.refresh());
    one.change(s -> s.drained(true));
    assertEquals(stored.drained(true), new OperatorFile(file).refresh());
  }
}
