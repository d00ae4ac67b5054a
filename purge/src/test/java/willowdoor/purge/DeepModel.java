package willowdoor.purge;

import java.util.List;

/**
 * Runs the model checker as deep as memory allows, at about 150 bytes a state: {@code java -Xmx12g
 * -cp purge/target/classes:purge/target/test-classes willowdoor.purge.DeepModel STATES
 * [SCENARIO]...}.
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
