package willowdoor.purge;

import java.util.List;

/**
 * The model checker as deep as memory allows, some 150 bytes a state: {@code java -Xmx12g -cp
 * purge/target/classes:purge/target/test-classes willowdoor.purge.DeepModel STATES [PLAY]...}.
 */
final class DeepModel {
  private DeepModel() {}

  public static void main(String[] args) {
    for (Scenario scenario : Scenario.values()) {
      if (args.length == 1 || List.of(args).contains(scenario.name())) {
        long began = System.nanoTime();
        Explorer.Report report = scenario.explorer(Rules.NORMAL).run(99, Integer.parseInt(args[0]));
        System.out.println(
            scenario + " " + report + " in " + (System.nanoTime() - began) / 1_000_000 + " ms");
      }
    }
  }
}
